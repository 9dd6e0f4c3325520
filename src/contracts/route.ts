/** Published HTTP route: the requests that it matches, the services and regions that serve them, and their time limits. */
export type Route = {
	readonly name: string;
	/** Value of the `Host` header, without a port, in lower case. */
	readonly host: string;
	/** Prefix of the path; begins and ends with a slash. */
	readonly prefix: string;
	/** Whether a request may run more than once. */
	readonly isRepeatable: boolean;
	/** Maximum time until the response to the client, in milliseconds. */
	readonly timeoutMs: number;
	/** Target response time, in milliseconds. */
	readonly targetMs: number;
	/** Priority; 0 is the most urgent. */
	readonly priority: number;
	/** Services among which the requests are divided in proportion to the weights. */
	readonly targets: ReadonlyArray<{readonly service: string; readonly weight: number}>;
	/** Maximum number of attempts in which a request reaches an instance, including the first. */
	readonly maxAttempts: number;
	/** Whether requests run faster at an instance that has recently served the same object. */
	readonly hasAffinity: boolean;
	/** Regions in which a request may run; empty for all. */
	readonly allowedRegions: readonly string[];
	/** Whether requests need no account's key where the configuration has accounts. */
	readonly isPublic: boolean;
};

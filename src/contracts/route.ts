/** One published HTTP route: which requests it takes, where they may go and for how long. */
export type Route = {
	readonly name: string;
	/** Value of the `Host` header, without a port, in lower case. */
	readonly host: string;
	/** Start of the path; begins and ends with a slash. */
	readonly prefix: string;
	/** Whether a request may run more than once. */
	readonly isRepeatable: boolean;
	/** Longest time that a client is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer is in time, in milliseconds. */
	readonly targetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Services that share the requests in proportion to their weights. */
	readonly targets: ReadonlyArray<{readonly service: string; readonly weight: number}>;
	/** Instances to which one request may be sent. */
	readonly maxAttempts: number;
	/** Whether an instance that handled the same object lately works faster. */
	readonly hasAffinity: boolean;
	/** Regions in which a request may run; empty for all. */
	readonly allowedRegions: readonly string[];
};

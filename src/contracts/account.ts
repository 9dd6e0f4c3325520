/** Client account: the requests that carry one of its keys share its priority, its regions and its quota. */
export type Account = {
	/** Sent to instances as a header value. */
	readonly name: string;
	/** Priority that takes precedence over the route's; 0 is the most urgent. `undefined`: the route's applies. */
	readonly priority: number | undefined;
	/** Regions in which the account's requests may run; empty for all. */
	readonly allowedRegions: readonly string[];
	/** Limit of the account's requests at all hosts together; `undefined` for no limit. */
	readonly quota: {readonly ratePerSecond: number; readonly burst: number} | undefined;
};

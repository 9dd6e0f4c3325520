/** What determined in which region a request was sent, for the log. */
export type SendDecision = {
	/** Version of the configuration by which the request was sent. */
	readonly configuration: number;
	/** Regions in which the request was allowed to run; empty for all. */
	readonly allowedRegions: readonly string[];
	/** Region of the instance. */
	readonly region: string;
	/** Time since which nothing had confirmed that this host has the latest changes, in milliseconds. */
	readonly unconfirmedMs: number;
};

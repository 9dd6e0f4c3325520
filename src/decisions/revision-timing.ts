/** Intervals of the contact to the store and of pulls. */
export type RevisionTiming = {
	/** Interval at which a watcher probes the store. */
	readonly probeIntervalMs: number;
	/** Time without contact to the store, own or reported, after which a host that is not designated probes the store itself. */
	readonly staleAfterMs: number;
	/**
	 * Time without progress for which a host that knows of a newer version waits for the changes that watchers spread, before it pulls them. Pulls
	 * cost their source and the caller far more processor time.
	 */
	readonly pullDelayMs: number;
};

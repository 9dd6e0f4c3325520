/** What a host can bear, which does not change while its process runs. */
export type HostSize = {
	/** Processor time that the daemon may use, as a multiple of one usual core. */
	readonly processor: number;
	/** Bandwidth of the host's link, in megabits per second. */
	readonly linkMbps: number;
};

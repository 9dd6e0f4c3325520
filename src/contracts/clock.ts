/** Monotonic time. */
export type Clock = {
	/** Milliseconds since an arbitrary moment; never falls. */
	readonly nowMs: () => number;
};

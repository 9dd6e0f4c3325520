/** Monotonic clock. */
export type Clock = {
	/** Returns the milliseconds since an arbitrary fixed moment; never decreases. */
	readonly nowMs: () => number;
};

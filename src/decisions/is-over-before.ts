type ExpectedRun = {
	/** Moment at which the request is sent, in monotonic milliseconds. */
	readonly startMs: number;
	/** Expected wait for a slot. */
	readonly waitMs: number;
	/** Usual time of a run at an instance that is warm for the object. */
	readonly usualRunMs: number;
	/** Moment by which the response has to be sent. */
	readonly endMs: number;
};

/** Multiple of the usual time that a run takes at an instance that is cold for the object. */
const coldRunFactor = 3;

/** Returns whether a request that is sent now is over before a moment, such as the end of a planned stop, also if its run is a cold one. */
export function isOverBefore({startMs, waitMs, usualRunMs, endMs}: ExpectedRun): boolean {
	return startMs + waitMs + (coldRunFactor * usualRunMs) < endMs;
}

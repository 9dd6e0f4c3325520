import {type Work} from '../contracts/work.js';

/** A request in the hands of this host. */
export type Job = {
	readonly work: Work;
	readonly body: Uint8Array;
	/** Moment by which the answer is due, in monotonic milliseconds. */
	readonly deadlineMs: number;
	/** Whether the class of the request allows it to run more than once. */
	readonly isRepeatable: boolean;
	/** Aborted when the caller leaves. */
	readonly signal: AbortSignal;
};

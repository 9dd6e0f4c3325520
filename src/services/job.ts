import {type RequestHead} from '../contracts/request-head.js';

/** A validated request that this host is handling. */
export type Job = {
	readonly head: RequestHead;
	readonly body: Uint8Array;
	/** Time by which the response is due, in monotonic milliseconds. */
	readonly deadlineMs: number;
	/** Whether the request may run more than once, by its class. */
	readonly isRepeatable: boolean;
	/** Aborted when the caller closes the connection. */
	readonly signal: AbortSignal;
};

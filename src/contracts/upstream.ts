import {type Outcome} from './outcome.js';
import {type RequestHead} from './request-head.js';

/** Result of a health check. */
type UpstreamHealth =
	| {readonly state: 'live' | 'leaving'; readonly inFlight: number; readonly slots: number}
	| {readonly state: 'unreachable'};

/** Result of a call of an upstream. */
type UpstreamResult = {
	readonly outcome: Outcome;
	/** Whether the connection was lost while the request was running, which may mean that the request crashed the upstream. */
	readonly mayHaveCrashed: boolean;
	/** Whether the upstream reported that it is leaving. */
	readonly isLeaving: boolean;
};

type UpstreamCall = {
	readonly address: string;
	readonly head: RequestHead;
	readonly body: Uint8Array;
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	/** Time within which the whole response must be received, in milliseconds. */
	readonly remainingMs: number;
	/** Whether a response that reports a shed request proves that the request did not run. */
	readonly shedMeansNotRun: boolean;
	/** Aborted to cancel the request. */
	readonly signal: AbortSignal;
};

/** Upstream instances: requests with deadline, request id and cancellation, and health checks that return the load. */
export type Upstream = {
	/** Sends a request; the outcome states whether it may have run. */
	readonly call: (call: UpstreamCall) => Promise<UpstreamResult>;
	/** Checks the health of an instance; returns `unreachable` also for an invalid response. */
	readonly health: (address: string) => Promise<UpstreamHealth>;
};

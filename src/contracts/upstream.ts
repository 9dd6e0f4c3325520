import {type Outcome} from './outcome.js';
import {type Work} from './work.js';

type UpstreamHealth =
	| {readonly state: 'live' | 'leaving'; readonly inFlight: number; readonly slots: number}
	| {readonly state: 'unreachable'};

/** What a call of an upstream tells beside its outcome. */
type UpstreamResult = {
	readonly outcome: Outcome;
	/** Whether the connection broke while the request was running, which counts against the request. */
	readonly isCrashSign: boolean;
	/** Whether the upstream said that it is leaving. */
	readonly isLeaving: boolean;
};

type UpstreamCall = {
	readonly address: string;
	readonly work: Work;
	readonly body: Uint8Array;
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	/** Time left, in milliseconds. */
	readonly remainingMs: number;
	readonly shedMeansNotRun: boolean;
	readonly signal: AbortSignal;
};

/** The back ends: calls with deadline, request id and cancellation; health with load. */
export type Upstream = {
	readonly call: (call: UpstreamCall) => Promise<UpstreamResult>;
	readonly health: (address: string) => Promise<UpstreamHealth>;
};

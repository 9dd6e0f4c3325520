import {type InstanceResult} from '../contracts/instance-result.js';

/** Outcome of a client's request for a published route. */
export type ProxyOutcome =
	/** Response of an instance. */
	| {
		readonly kind: 'answer';
		readonly result: Extract<InstanceResult, {kind: 'whole' | 'partial'}>;
		readonly instanceId: string;
		/** Wait for a slot that was expected when the request was sent. */
		readonly expectedWaitMs: number;
		/** Number of sends before that brought no answer. */
		readonly failedSends: number;
	}
	/** The request did not run and will not run later. */
	| {
		readonly kind: 'not_run';
		readonly reason: 'not_ready' | 'no_upstream' | 'busy' | 'paused' | 'shed' | 'retry_budget' | 'timeout' | 'quarantined' | 'stopping' | 'no_memory';
		readonly retryAfterMs: number;
	}
	/** The request may have run. */
	| {readonly kind: 'unknown'; readonly reason: 'timeout' | 'lost' | 'broken' | 'cancelled'}
	/** The request itself is invalid. */
	| {readonly kind: 'invalid'; readonly reason: 'no_route' | 'no_request_id' | 'body_too_large' | 'broken_off'};

import {type InstanceResult} from '../contracts/instance-result.js';

/** What the client of a published route gets. */
export type ProxyOutcome =
	/** The instance's own answer. */
	| {
		readonly kind: 'answer';
		readonly result: Extract<InstanceResult, {kind: 'whole' | 'partial'}>;
		readonly instanceId: string;
		/** Wait for a slot that was expected when it was sent, in milliseconds. */
		readonly expectedWaitMs: number;
	}
	/** The request did not run and never will. */
	| {readonly kind: 'not_run'; readonly reason: 'not_ready' | 'no_upstream' | 'busy' | 'shed' | 'retry_budget' | 'timeout' | 'quarantined' | 'stopping'; readonly retryAfterMs: number}
	/** The request may have run. */
	| {readonly kind: 'unknown'; readonly reason: 'timeout' | 'lost' | 'broken' | 'cancelled'}
	/** The request is at fault. */
	| {readonly kind: 'invalid'; readonly reason: 'no_route' | 'no_request_id' | 'body_too_large' | 'broken_off'};

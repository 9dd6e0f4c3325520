import {type InstanceResult} from '../contracts/instance-result.js';
import {type SendDecision} from './send-decision.js';

/** Inputs that determined a refusal, by name, for the log. They contain no keys. */
type RefusalFigures = Readonly<Record<string, string | number>>;

/** Outcome of a client's request for a published route. */
export type ProxyOutcome =
	/** Response of an instance. */
	| {
		readonly kind: 'answer';
		readonly result: Extract<InstanceResult, {kind: 'whole' | 'partial'}>;
		readonly instanceId: string;
		readonly decision: SendDecision;
		/** Wait for a slot that was expected when the request was sent. */
		readonly expectedWaitMs: number;
		/** Run time that was expected when the request was sent. */
		readonly expectedRunMs: number;
		/** Number of sends before that brought no answer. */
		readonly failedSends: number;
	}
	/** The request did not run and will not run later. */
	| {
		readonly kind: 'not_run';
		readonly reason: 'not_ready' | 'no_upstream' | 'busy' | 'paused' | 'shed' | 'retry_budget' | 'timeout' | 'quarantined' | 'stopping' | 'no_common_region' | 'unconfirmed' | 'over_quota' | 'no_memory';
		readonly retryAfterMs: number;
		readonly figures?: RefusalFigures | undefined;
	}
	/** The request may have run. */
	| {readonly kind: 'unknown'; readonly reason: 'timeout' | 'lost' | 'broken' | 'cancelled'}
	/** The request itself is invalid. */
	| {readonly kind: 'invalid'; readonly reason: 'no_route' | 'no_request_id' | 'body_too_large' | 'broken_off' | 'unauthorized'; readonly figures?: RefusalFigures | undefined};

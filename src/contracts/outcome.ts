import {z} from 'zod';

/** Reason for which a request was refused; every refusal proves that the request did not run. */
const RefusalReason = z.enum([
	'bad_request',
	'unknown_service',
	'unknown_class',
	'not_ready',
	'stopping',
	'deadline_expired',
	'deadline_unreachable',
	'queue_full',
	'buffers_full',
	'no_upstream',
	'shed',
	'key_required',
	'key_invalid',
	'key_expired',
	'token_sealed',
	'quarantined',
	'cancelled',
	'paused',
	'peer_unreachable',
	'not_owner',
	'too_large',
	'rate_limited',
]);

const WholeResponse = z.object({
	kind: z.literal('whole'),
	/** HTTP status of the upstream's response. */
	status: z.int(),
	headers: z.record(z.string(), z.string()),
	body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
	/** Whether the response was recorded from an earlier run with the same idempotency key. */
	isReplay: z.boolean().default(false),
});

const NotRun = z.object({
	kind: z.literal('not-run'),
	reason: RefusalReason,
	detail: z.string(),
	/** Time after which a retry is useful, in milliseconds. */
	retryAfterMs: z.number().default(0),
});

const Unknown = z.object({
	kind: z.literal('unknown'),
	reason: z.enum(['connection_lost', 'answer_overdue', 'answer_broken', 'answer_too_large', 'host_lost', 'home_restarted', 'key_expired', 'cancelled', 'quarantined']),
	detail: z.string(),
});

/**
 * Outcome of a request: a complete response, proof that the request did not run, or neither.
 * A request that is not repeatable may be retried only after `not-run`, or under the same idempotency key.
 */
export const Outcome = z.discriminatedUnion('kind', [WholeResponse, NotRun, Unknown]);

/** Outcome of a request. */
export type Outcome = Readonly<z.infer<typeof Outcome>>;

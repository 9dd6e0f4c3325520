import {z} from 'zod';

/** Why a request was refused; every refusal proves that the request did not run. */
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

const WholeAnswer = z.object({
	kind: z.literal('whole'),
	/** HTTP status of the upstream. */
	status: z.int(),
	headers: z.record(z.string(), z.string()),
	body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
	/** Whether the answer was kept from an earlier run of the same key. */
	isReplay: z.boolean().default(false),
});

const NotRun = z.object({
	kind: z.literal('not-run'),
	reason: RefusalReason,
	detail: z.string(),
	/** Time after which another try makes sense, in milliseconds. */
	retryAfterMs: z.number().default(0),
});

const Unknown = z.object({
	kind: z.literal('unknown'),
	reason: z.enum(['connection_lost', 'answer_overdue', 'answer_broken', 'answer_too_large', 'host_lost', 'home_restarted', 'key_expired', 'cancelled', 'quarantined']),
	detail: z.string(),
});

/**
 * The outcome of one request: a whole answer, a proof that it did not run, or neither.
 * Only `not-run` allows a request that is not repeatable to be sent again.
 */
export const Outcome = z.discriminatedUnion('kind', [WholeAnswer, NotRun, Unknown]);

/** Outcome of one request. */
export type Outcome = Readonly<z.infer<typeof Outcome>>;

import {z} from 'zod';

/** A request on its way through the system, without its body. */
export const Work = z.object({
	/** Identifies this request at every hop. */
	requestId: z.string(),
	service: z.string(),
	className: z.string(),
	method: z.string(),
	/** Path and query that the upstream receives. */
	path: z.string(),
	/** Time left when the message was sent, in milliseconds. */
	remainingMs: z.number(),
	/** Whole idempotency key of a request that may not be repeated. */
	key: z.string().optional(),
	/** Content headers that the upstream receives. */
	headers: z.record(z.string(), z.string()),
	/** W3C trace context. */
	traceparent: z.string().optional(),
	/** Region in which the caller entered. */
	region: z.string(),
	/** Who sent it; callers take turns in the queues. */
	caller: z.string(),
	/** Digest of service, method, path and body; identifies requests that crash upstreams. */
	fingerprint: z.string(),
});

/** A request on its way through the system, without its body. */
export type Work = Readonly<z.infer<typeof Work>>;

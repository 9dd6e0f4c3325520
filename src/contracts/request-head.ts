import {z} from 'zod';

/** A request without its body, as daemons forward it to each other. */
export const RequestHead = z.object({
	/** Identifier of the request, the same at every hop. */
	requestId: z.string(),
	service: z.string(),
	className: z.string(),
	method: z.string(),
	/** Path and query that the upstream receives. */
	path: z.string(),
	/** Time until the deadline when the request was forwarded, in milliseconds. */
	remainingMs: z.number(),
	/** Complete idempotency key; absent for a repeatable request. */
	key: z.string().optional(),
	/** Content headers that the upstream receives. */
	headers: z.record(z.string(), z.string()),
	/** W3C trace context. */
	traceparent: z.string().optional(),
	/** Region in which the request entered the system. */
	region: z.string(),
	/** Address of the caller; the queues serve callers in turn. */
	caller: z.string(),
	/** Digest of service, method, path and body, by which requests that crash upstreams are recognized. */
	fingerprint: z.string(),
});

/** A request without its body. */
export type RequestHead = Readonly<z.infer<typeof RequestHead>>;

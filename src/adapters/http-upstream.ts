import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Clock} from '../contracts/clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {type Upstream} from '../contracts/upstream.js';
import {httpExchange} from './http-exchange.js';
import {PoolSet} from './pool-set.js';

type HttpUpstreamOptions = {
	readonly clock: Clock;
	readonly maxAnswerBytes: number;
	/** Limit of connections to one instance. */
	readonly maxConnections: number;
};

type UpstreamCall = Parameters<Upstream['call']>[0];
type ExchangeResult = Awaited<ReturnType<typeof httpExchange>>;
type HttpResponse = ExchangeResult & {kind: 'answered'};

/** Idle time after which a connection is not reused. */
const idleLimitMs = 1500;
const connectTimeoutMs = 500;
/** One week; the timeout of each exchange is set by its caller. */
const exchangeLimitMs = 604_800_000;
const healthTimeoutMs = 1000;

/** Response headers that concern one connection or that the system sets itself; they are not forwarded. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'date', 'x-request-id', 'cowslipspar-leaving', 'cowslipspar-not-run']);

const Health = z.object({
	state: z.enum(['live', 'leaving']),
	inFlight: z.int().min(0),
	slots: z.int().min(0),
});

/** Client of upstream instances over HTTP/1.1; docs/UPSTREAMS.md specifies the protocol. */
export class HttpUpstream implements Upstream {
	readonly #options: HttpUpstreamOptions;
	readonly #pools: PoolSet;

	constructor(options: HttpUpstreamOptions) {
		this.#options = options;
		this.#pools = new PoolSet({
			clock: options.clock, idleLimitMs, connectTimeoutMs, exchangeLimitMs, maxConnections: options.maxConnections,
		});
	}

	/** Number of open connections to all instances. */
	get connections(): number {
		return this.#pools.size;
	}

	async call(call: UpstreamCall): ReturnType<Upstream['call']> {
		const result = await httpExchange({
			pool: this.#pools.get(call.address),
			method: call.head.method,
			path: call.head.path,
			headers: requestHeaders(call),
			body: call.body.byteLength === 0 ? undefined : call.body,
			timeoutMs: call.remainingMs,
			maxAnswerBytes: this.#options.maxAnswerBytes,
			signal: call.signal,
			startMs: this.#options.clock.nowMs(),
			requestId: call.head.requestId,
		});
		return {
			outcome: toOutcome(call, result),
			mayHaveCrashed: result.kind === 'lost',
			isLeaving: result.kind === 'answered' && result.headers['cowslipspar-leaving'] === '1',
		};
	}

	async health(address: string): ReturnType<Upstream['health']> {
		const result = await httpExchange({
			pool: this.#pools.get(address),
			method: 'GET',
			path: '/health',
			headers: {},
			body: undefined,
			timeoutMs: healthTimeoutMs,
			maxAnswerBytes: 65_536,
			signal: undefined,
			startMs: this.#options.clock.nowMs(),
		});
		if (result.kind !== 'answered' || result.status !== 200) {
			return {state: 'unreachable'};
		}

		try {
			const health = Health.safeParse(JSON.parse(Buffer.from(result.body).toString()));
			return health.success ? health.data : {state: 'unreachable'};
		} catch {
			return {state: 'unreachable'};
		}
	}

	/** Closes the connections that have been idle for too long. */
	sweep(): void {
		this.#pools.sweep();
	}

	/** Closes all connections. */
	close(): void {
		this.#pools.close();
	}
}

function requestHeaders(call: UpstreamCall): Record<string, string> {
	const headers: Record<string, string> = {
		...call.head.headers,
		'x-request-id': call.head.requestId,
		'cowslipspar-deadline-ms': String(Math.floor(call.remainingMs)),
	};
	if (call.head.key !== undefined) {
		headers['idempotency-key'] = call.head.key;
	}

	if (call.head.traceparent !== undefined) {
		headers.traceparent = call.head.traceparent;
	}

	return headers;
}

function toOutcome(call: UpstreamCall, result: ExchangeResult): Outcome {
	switch (result.kind) {
		case 'answered': {
			return toResponseOutcome(call, result);
		}

		case 'not_sent': {
			return {
				kind: 'not-run', reason: 'no_upstream', detail: result.detail, retryAfterMs: 0,
			};
		}

		case 'too_large': {
			return {kind: 'unknown', reason: 'answer_too_large', detail: 'the response body exceeds the size limit'};
		}

		case 'broken': {
			return {kind: 'unknown', reason: 'answer_broken', detail: result.detail};
		}

		case 'overdue': {
			return {kind: 'unknown', reason: 'answer_overdue', detail: 'no complete response within the deadline'};
		}

		case 'cancelled': {
			return {kind: 'unknown', reason: 'cancelled', detail: 'the caller cancelled the request'};
		}

		case 'lost': {
			return {kind: 'unknown', reason: 'connection_lost', detail: result.detail};
		}
	}
}

function toResponseOutcome(call: UpstreamCall, res: HttpResponse): Outcome {
	if (res.status === 503 && res.headers['cowslipspar-not-run'] === '1' && call.shedMeansNotRun) {
		return {
			kind: 'not-run', reason: 'shed', detail: 'the upstream shed the request', retryAfterMs: 0,
		};
	}

	const headers = Object.fromEntries(Object.entries(res.headers).filter(([name]) => !connectionHeaders.has(name)));
	return {
		kind: 'whole', status: res.status, headers, body: res.body, isReplay: false,
	};
}

import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {httpExchange} from './adapters/http-exchange.js';
import {monotonicClock} from './adapters/monotonic-clock.js';
import {PoolSet} from './adapters/pool-set.js';
import {Outcome} from './contracts/outcome.js';
import {overallOutcome} from './decisions/overall-outcome.js';
import {type Result} from './result.js';

type CallerOptions = {
	/** Addresses (`IPv4:port`) of entry hosts for the first lookup. */
	readonly hosts: readonly string[];
	/** Maximum size of one response body, in bytes; default: 16 MiB. */
	readonly maxAnswerBytes?: number;
};

/** A request to a service. */
type CallerRequest = {
	readonly service: string;
	/** Request class, as named in the service's configuration. */
	readonly className: string;
	/** HTTP method; default: `POST`. */
	readonly method?: string;
	/** Path at the service, with its query; default: `/`. */
	readonly path?: string;
	readonly body?: Uint8Array;
	readonly headers?: Readonly<Record<string, string>>;
	/** Time limit for the request including lookups and retries, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether the request may run more than once; if not, it is sent with an idempotency key that the library generates. */
	readonly isRepeatable: boolean;
	/** Trace context (W3C), sent as the `traceparent` header. */
	readonly traceparent?: string;
};

type LookupError = {readonly code: 'no_host'; readonly message: string};

const LookupResponse = z.object({
	service: z.string(),
	hosts: z.array(z.object({address: z.string(), region: z.string(), zone: z.string()})),
	ttlMs: z.number(),
	token: z.string().optional(),
	revision: z.number(),
});

type LookupResponse = Readonly<z.infer<typeof LookupResponse>>;
type Cached = {readonly response: LookupResponse; readonly expiresMs: number};
/**
 * Result of one attempt. `isReported` is true if the system reported the outcome, and false if no valid response was received.
 * `isTokenSealed` is true if the key's token accepts no new keys, so that a new key is needed.
 */
type Attempt = {readonly outcome: Outcome; readonly isTokenSealed: boolean; readonly isReported: boolean};
type ExchangeResult = Awaited<ReturnType<typeof httpExchange>>;

const defaultMaxAnswerBytes = 16_777_216;
const lookupTimeoutMs = 2000;
/** Idle time after which a connection is not reused. */
const idleLimitMs = 3000;
const connectTimeoutMs = 1000;
/** Time for which other hosts are preferred over a host that could not be reached. */
const hostRetryDelayMs = 2000;
const minRetryDelayMs = 20;
/** Part of the deadline reserved for receiving the outcome. */
const responseMarginMs = 50;
/** Interval at which a host that has not responded yet is checked by a lookup. */
const healthCheckIntervalMs = 700;
const healthCheckTimeoutMs = 600;

/**
 * Client of the system: looks up services, caches the responses, sends requests, and retries them. A request that is not
 * repeatable never runs twice: it is retried only if the last attempt is proven not to have run, or under the same
 * idempotency key, which the system runs at most once.
 */
export class Caller {
	readonly #hosts: readonly string[];
	readonly #maxAnswerBytes: number;
	readonly #cache = new Map<string, Cached>();
	readonly #avoidedUntilMs = new Map<string, number>();
	readonly #pools = new PoolSet({
		clock: monotonicClock, idleLimitMs, connectTimeoutMs, exchangeLimitMs: 604_800_000, maxConnections: 256,
	});

	constructor(options: CallerOptions) {
		this.#hosts = options.hosts;
		this.#maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;
	}

	/**
	 * Returns the entry hosts of a service, from the cache until the cached response expires. A response without a token or
	 * without hosts is used only if no entry host returns a better one. Fails with `no_host` if no valid response is received.
	 */
	async lookup(service: string): Promise<Result<LookupResponse, LookupError>> {
		const cached = this.#cache.get(service);
		if (cached !== undefined && cached.expiresMs > monotonicClock.nowMs()) {
			return {success: true, data: cached.response};
		}

		const cachedAddresses = cached?.response.hosts.map(host => host.address) ?? [];
		const candidates = [...new Set([...cachedAddresses, ...this.#hosts])];
		let fallback: LookupResponse | undefined;
		for (const address of this.#sortByReachability(candidates)) {
			const response = await this.#lookupAt(address, service);
			if (response?.token !== undefined && response.hosts.length > 0) {
				return this.#cacheResponse(service, response);
			}

			fallback ??= response;
		}

		return fallback === undefined
			? {success: false, error: {code: 'no_host', message: `no entry host responded to the lookup of service ${service}`}}
			: this.#cacheResponse(service, fallback);
	}

	/**
	 * Sends a request and returns its outcome. Until the deadline, an attempt that is proven not to have run is retried unless
	 * its reason is final. An attempt that may have run is retried if the request is repeatable, or under the same idempotency
	 * key if no valid response was received.
	 */
	async send(req: CallerRequest): Promise<Outcome> {
		const deadlineMs = monotonicClock.nowMs() + req.deadlineMs;
		let key: string | undefined;
		let lastOutcome: Outcome = {
			kind: 'not-run', reason: 'peer_unreachable', detail: 'no entry host is reachable', retryAfterMs: 0,
		};
		let mayHaveRun = false;
		for (let retries = 0; monotonicClock.nowMs() < deadlineMs - responseMarginMs; retries++) {
			const found = await this.lookup(req.service);
			if (!found.success) {
				await delay(minRetryDelayMs * (retries + 1));
				continue;
			}

			if (!req.isRepeatable && key === undefined) {
				key = found.data.token === undefined ? undefined : `${found.data.token}.${randomUUID()}`;
				if (key === undefined) {
					this.#cache.delete(req.service);
					await delay(minRetryDelayMs * (retries + 1));
					continue;
				}
			}

			const [address] = this.#sortByReachability(found.data.hosts.map(host => host.address));
			if (address === undefined) {
				this.#cache.delete(req.service);
				await delay(minRetryDelayMs);
				continue;
			}

			const result = await this.#sendTo(address, req, key, deadlineMs);
			lastOutcome = result.outcome;
			mayHaveRun ||= lastOutcome.kind === 'unknown';
			if (lastOutcome.kind === 'whole' || (lastOutcome.kind === 'unknown' && !mayRetryUnknown(req, lastOutcome, result.isReported))) {
				return lastOutcome;
			}

			if (result.isTokenSealed) {
				key = undefined;
				mayHaveRun = false;
				this.#cache.delete(req.service);
			}

			if (lastOutcome.kind === 'not-run' && !isRetryable(lastOutcome.reason)) {
				break;
			}

			const retryDelayMs = Math.max(minRetryDelayMs, lastOutcome.kind === 'not-run' ? lastOutcome.retryAfterMs : minRetryDelayMs);
			if (monotonicClock.nowMs() + retryDelayMs >= deadlineMs) {
				break;
			}

			await delay(retryDelayMs);
		}

		return overallOutcome(lastOutcome, mayHaveRun);
	}

	/** Clears the cache of lookup responses. */
	forget(): void {
		this.#cache.clear();
	}

	/** Closes all connections. */
	close(): void {
		this.#pools.close();
	}

	#cacheResponse(service: string, response: LookupResponse): Result<LookupResponse, LookupError> {
		this.#cache.set(service, {response, expiresMs: monotonicClock.nowMs() + response.ttlMs});
		return {success: true, data: response};
	}

	/** Returns the addresses; hosts that could not be reached recently come last. */
	#sortByReachability(addresses: readonly string[]): string[] {
		const nowMs = monotonicClock.nowMs();
		const isAvoided = (address: string) => (this.#avoidedUntilMs.get(address) ?? 0) > nowMs;
		return [...addresses.filter(address => !isAvoided(address)), ...addresses.filter(address => isAvoided(address))];
	}

	async #lookupAt(address: string, service: string): Promise<LookupResponse | undefined> {
		const result = await this.#exchange(address, {
			method: 'GET', path: `/v1/lookup/${service}`, headers: {}, body: undefined, timeoutMs: lookupTimeoutMs, signal: undefined,
		});
		if (result.kind === 'not_sent' || result.kind === 'overdue') {
			this.#avoidedUntilMs.set(address, monotonicClock.nowMs() + hostRetryDelayMs);
		}

		if (result.kind !== 'answered' || result.status !== 200) {
			return undefined;
		}

		const parsed = LookupResponse.safeParse(JSON.parse(new TextDecoder().decode(result.body)));
		return parsed.success ? parsed.data : undefined;
	}

	async #sendTo(address: string, req: CallerRequest, key: string | undefined, deadlineMs: number): Promise<Attempt> {
		const remainingMs = deadlineMs - monotonicClock.nowMs();
		const headers: Record<string, string> = {
			...req.headers,
			'cowslipspar-class': req.className,
			'cowslipspar-deadline-ms': String(Math.max(1, Math.floor(remainingMs - responseMarginMs))),
		};
		if (key !== undefined) {
			headers['idempotency-key'] = key;
		}

		if (req.traceparent !== undefined) {
			headers.traceparent = req.traceparent;
		}

		const controller = new AbortController();
		const healthCheck = setInterval(() => {
			void this.#abortIfUnresponsive(address, req.service, controller);
		}, healthCheckIntervalMs);
		const result = await this.#exchange(address, {
			method: req.method ?? 'POST',
			path: `/v1/call/${req.service}${req.path ?? '/'}`,
			headers,
			body: req.body,
			timeoutMs: remainingMs,
			signal: controller.signal,
		});
		clearInterval(healthCheck);
		if (result.kind === 'not_sent' || result.kind === 'lost') {
			this.#avoidedUntilMs.set(address, monotonicClock.nowMs() + hostRetryDelayMs);
		}

		return toAttempt(result);
	}

	/**
	 * Aborts a request if its host does not respond to a lookup either: such a host is frozen or lost. Other hosts are preferred
	 * for the retry.
	 */
	async #abortIfUnresponsive(address: string, service: string, controller: AbortController): Promise<void> {
		const check = await this.#exchange(address, {
			method: 'GET', path: `/v1/lookup/${service}`, headers: {}, body: undefined, timeoutMs: healthCheckTimeoutMs, signal: undefined,
		});
		if (check.kind !== 'answered') {
			this.#avoidedUntilMs.set(address, monotonicClock.nowMs() + hostRetryDelayMs);
			controller.abort();
		}
	}

	async #exchange(address: string, request: Pick<Parameters<typeof httpExchange>[0], 'method' | 'path' | 'headers' | 'body' | 'timeoutMs' | 'signal'>): Promise<ExchangeResult> {
		return httpExchange({
			...request, pool: this.#pools.get(address), maxAnswerBytes: this.#maxAnswerBytes, startMs: monotonicClock.nowMs(),
		});
	}
}

const finalRefusalReasons = new Set<string>(['bad_request', 'unknown_service', 'unknown_class', 'key_invalid', 'too_large', 'quarantined', 'deadline_expired']);

function isRetryable(reason: string): boolean {
	return !finalRefusalReasons.has(reason);
}

/**
 * Returns whether a request with outcome `unknown` may be sent again. A request that is not repeatable is sent under the same
 * key, and only if the system has not reported the outcome.
 */
function mayRetryUnknown(req: CallerRequest, outcome: Outcome & {kind: 'unknown'}, isReported: boolean): boolean {
	if (outcome.reason === 'answer_too_large') {
		return false;
	}

	return req.isRepeatable || !isReported;
}

function toAttempt(result: ExchangeResult): Attempt {
	switch (result.kind) {
		case 'answered': {
			return parseResponse(result);
		}

		case 'not_sent': {
			return {
				outcome: {
					kind: 'not-run', reason: 'peer_unreachable', detail: result.detail, retryAfterMs: 0,
				}, isTokenSealed: false, isReported: false,
			};
		}

		case 'cancelled': {
			return {outcome: {kind: 'unknown', reason: 'host_lost', detail: 'the entry host stopped responding'}, isTokenSealed: false, isReported: false};
		}

		case 'overdue': {
			return {outcome: {kind: 'unknown', reason: 'answer_overdue', detail: 'no complete response within the deadline'}, isTokenSealed: false, isReported: false};
		}

		case 'too_large': {
			return {outcome: {kind: 'unknown', reason: 'answer_too_large', detail: 'the response body exceeds the size limit'}, isTokenSealed: false, isReported: false};
		}

		case 'broken': {
			return {outcome: {kind: 'unknown', reason: 'answer_broken', detail: result.detail}, isTokenSealed: false, isReported: false};
		}

		case 'lost': {
			return {outcome: {kind: 'unknown', reason: 'connection_lost', detail: 'the connection to the entry host was lost'}, isTokenSealed: false, isReported: false};
		}
	}
}

function parseResponse(result: ExchangeResult & {kind: 'answered'}): Attempt {
	const {headers} = result;
	const parsed = Outcome.safeParse({
		kind: headers['cowslipspar-outcome'],
		reason: headers['cowslipspar-reason'],
		detail: new TextDecoder().decode(result.body),
		retryAfterMs: Number(headers['cowslipspar-retry-after-ms'] ?? 0),
		status: result.status,
		headers,
		body: result.body,
		isReplay: headers['cowslipspar-replay'] === '1',
	});
	if (!parsed.success) {
		return {outcome: {kind: 'unknown', reason: 'answer_broken', detail: `the response with status ${result.status} has no valid outcome`}, isTokenSealed: false, isReported: false};
	}

	const isTokenSealed = parsed.data.kind === 'not-run' && parsed.data.reason === 'token_sealed';
	return {outcome: parsed.data, isTokenSealed, isReported: true};
}

import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {httpExchange} from './adapters/http-exchange.js';
import {monotonicClock} from './adapters/monotonic-clock.js';
import {PoolSet} from './adapters/pool-set.js';
import {Outcome} from './contracts/outcome.js';
import {honestOutcome} from './decisions/honest-outcome.js';
import {type Result} from './result.js';

type CallerOptions = {
	/** Addresses (`IPv4:port`) of entry hosts to ask first. */
	readonly hosts: readonly string[];
	/** Bytes of one answer. */
	readonly maxAnswerBytes?: number;
};

/** A request to a service. */
type CallerRequest = {
	readonly service: string;
	readonly className: string;
	readonly method?: string;
	readonly path?: string;
	readonly body?: Uint8Array;
	readonly headers?: Readonly<Record<string, string>>;
	/** Time allowed for the whole of it, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether the request may run more than once; if not, the library gives it an idempotency key. */
	readonly isRepeatable: boolean;
	readonly traceparent?: string;
};

type LookupError = {readonly code: 'no_host'; readonly message: string};

const LookupAnswer = z.object({
	service: z.string(),
	hosts: z.array(z.object({address: z.string(), region: z.string(), zone: z.string()})),
	ttlMs: z.number(),
	token: z.string().optional(),
	revision: z.number(),
});

type LookupAnswer = Readonly<z.infer<typeof LookupAnswer>>;
type Cached = {readonly answer: LookupAnswer; readonly expiresMs: number};
/** `isReported` says that the system itself told the outcome; otherwise its answer did not arrive. */
type Try = {readonly outcome: Outcome; readonly isKeySpent: boolean; readonly isReported: boolean};
type ExchangeResult = Awaited<ReturnType<typeof httpExchange>>;

const defaultMaxAnswerBytes = 16_777_216;
const lookupTimeoutMs = 2000;
const idleLimitMs = 3000;
const connectTimeoutMs = 1000;
/** Time after which a host that did not accept a connection is tried again, in milliseconds. */
const avoidMs = 2000;
const shortestPauseMs = 20;
/** Part of the deadline kept back for hearing the outcome, in milliseconds. */
const hearingMs = 50;
/** Interval at which a host that has not answered yet is checked by a look-up, and the time allowed for that, in milliseconds. */
const checkIntervalMs = 700;
const checkTimeoutMs = 600;

/**
 * Client of the system: looks a service up, caches the answer, sends requests, and sends one again only when that
 * cannot make it run twice. An unanswered keyed request is asked for again under the same key, which the system
 * runs at most once.
 */
export class Caller {
	readonly #hosts: readonly string[];
	readonly #maxAnswerBytes: number;
	readonly #cache = new Map<string, Cached>();
	readonly #avoided = new Map<string, number>();
	readonly #pools = new PoolSet({
		clock: monotonicClock, idleLimitMs, connectTimeoutMs, exchangeLimitMs: 604_800_000, maxConnections: 256,
	});

	constructor(options: CallerOptions) {
		this.#hosts = options.hosts;
		this.#maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;
	}

	/** Entry hosts for a service, from the cache while it is fresh. */
	async lookup(service: string): Promise<Result<LookupAnswer, LookupError>> {
		const cached = this.#cache.get(service);
		if (cached !== undefined && cached.expiresMs > monotonicClock.nowMs()) {
			return {success: true, data: cached.answer};
		}

		const known = cached?.answer.hosts.map(host => host.address) ?? [];
		const candidates = [...new Set([...known, ...this.#hosts])];
		let fallback: LookupAnswer | undefined;
		for (const address of this.#preferred(candidates)) {
			const answer = await this.#lookupAt(address, service);
			if (answer?.token !== undefined && answer.hosts.length > 0) {
				return this.#keep(service, answer);
			}

			fallback ??= answer;
		}

		return fallback === undefined
			? {success: false, error: {code: 'no_host', message: `no entry host answered a look-up of ${service}`}}
			: this.#keep(service, fallback);
	}

	/** Sends a request and answers its outcome; tries again only after a proof that it did not run, or under the same key. */
	async send(req: CallerRequest): Promise<Outcome> {
		const deadlineMs = monotonicClock.nowMs() + req.deadlineMs;
		let key: string | undefined;
		let last: Outcome = {
			kind: 'not-run', reason: 'peer_unreachable', detail: 'no entry host could be reached', retryAfterMs: 0,
		};
		let isUncertain = false;
		for (let tries = 0; monotonicClock.nowMs() < deadlineMs - hearingMs; tries++) {
			const found = await this.lookup(req.service);
			if (!found.success) {
				await delay(shortestPauseMs * (tries + 1));
				continue;
			}

			if (!req.isRepeatable && key === undefined) {
				key = found.data.token === undefined ? undefined : `${found.data.token}.${randomUUID()}`;
				if (key === undefined) {
					this.#cache.delete(req.service);
					await delay(shortestPauseMs * (tries + 1));
					continue;
				}
			}

			const [address] = this.#preferred(found.data.hosts.map(host => host.address));
			if (address === undefined) {
				this.#cache.delete(req.service);
				await delay(shortestPauseMs);
				continue;
			}

			const result = await this.#sendTo(address, req, key, deadlineMs);
			last = result.outcome;
			isUncertain ||= last.kind === 'unknown';
			if (last.kind === 'whole' || (last.kind === 'unknown' && !canAskAgain(req, last, result.isReported))) {
				return last;
			}

			if (result.isKeySpent) {
				key = undefined;
				isUncertain = false;
				this.#cache.delete(req.service);
			}

			if (last.kind === 'not-run' && !isWorthAnotherTry(last.reason)) {
				break;
			}

			const pauseMs = Math.max(shortestPauseMs, last.kind === 'not-run' ? last.retryAfterMs : shortestPauseMs);
			if (monotonicClock.nowMs() + pauseMs >= deadlineMs) {
				break;
			}

			await delay(pauseMs);
		}

		return honestOutcome(last, isUncertain);
	}

	/** Forgets cached look-ups. */
	forget(): void {
		this.#cache.clear();
	}

	/** Closes all connections. */
	close(): void {
		this.#pools.close();
	}

	#keep(service: string, answer: LookupAnswer): Result<LookupAnswer, LookupError> {
		this.#cache.set(service, {answer, expiresMs: monotonicClock.nowMs() + answer.ttlMs});
		return {success: true, data: answer};
	}

	/** Addresses with those that lately refused a connection last. */
	#preferred(addresses: readonly string[]): string[] {
		const nowMs = monotonicClock.nowMs();
		const isAvoided = (address: string) => (this.#avoided.get(address) ?? 0) > nowMs;
		return [...addresses.filter(address => !isAvoided(address)), ...addresses.filter(address => isAvoided(address))];
	}

	async #lookupAt(address: string, service: string): Promise<LookupAnswer | undefined> {
		const result = await this.#exchange(address, {
			method: 'GET', path: `/v1/lookup/${service}`, headers: {}, body: undefined, timeoutMs: lookupTimeoutMs, signal: undefined,
		});
		if (result.kind === 'not_sent' || result.kind === 'overdue') {
			this.#avoided.set(address, monotonicClock.nowMs() + avoidMs);
		}

		if (result.kind !== 'answered' || result.status !== 200) {
			return undefined;
		}

		const parsed = LookupAnswer.safeParse(JSON.parse(new TextDecoder().decode(result.body)));
		return parsed.success ? parsed.data : undefined;
	}

	async #sendTo(address: string, req: CallerRequest, key: string | undefined, deadlineMs: number): Promise<Try> {
		const remainingMs = deadlineMs - monotonicClock.nowMs();
		const headers: Record<string, string> = {
			...req.headers,
			'cowslipspar-class': req.className,
			'cowslipspar-deadline-ms': String(Math.max(1, Math.floor(remainingMs - hearingMs))),
		};
		if (key !== undefined) {
			headers['idempotency-key'] = key;
		}

		if (req.traceparent !== undefined) {
			headers.traceparent = req.traceparent;
		}

		const controller = new AbortController();
		const checks = setInterval(() => {
			void this.#abandonIfSilent(address, req.service, controller);
		}, checkIntervalMs);
		const result = await this.#exchange(address, {
			method: req.method ?? 'POST',
			path: `/v1/call/${req.service}${req.path ?? '/'}`,
			headers,
			body: req.body,
			timeoutMs: remainingMs,
			signal: controller.signal,
		});
		clearInterval(checks);
		if (result.kind === 'not_sent' || result.kind === 'lost') {
			this.#avoided.set(address, monotonicClock.nowMs() + avoidMs);
		}

		return toTry(result);
	}

	/** A host that does not answer a look-up either is frozen or gone: what was sent to it is asked for elsewhere. */
	async #abandonIfSilent(address: string, service: string, controller: AbortController): Promise<void> {
		const check = await this.#exchange(address, {
			method: 'GET', path: `/v1/lookup/${service}`, headers: {}, body: undefined, timeoutMs: checkTimeoutMs, signal: undefined,
		});
		if (check.kind !== 'answered') {
			this.#avoided.set(address, monotonicClock.nowMs() + avoidMs);
			controller.abort();
		}
	}

	async #exchange(address: string, request: Pick<Parameters<typeof httpExchange>[0], 'method' | 'path' | 'headers' | 'body' | 'timeoutMs' | 'signal'>): Promise<ExchangeResult> {
		return httpExchange({
			...request, pool: this.#pools.get(address), maxAnswerBytes: this.#maxAnswerBytes, startMs: monotonicClock.nowMs(),
		});
	}
}

const finalReasons = new Set<string>(['bad_request', 'unknown_service', 'unknown_class', 'key_invalid', 'too_large', 'quarantined', 'deadline_expired']);

function isWorthAnotherTry(reason: string): boolean {
	return !finalReasons.has(reason);
}

/**
 * Whether a request without a known outcome may be sent again. One that may not be repeated is sent under the same
 * key, and only to learn what the system has not told yet.
 */
function canAskAgain(req: CallerRequest, outcome: Outcome & {kind: 'unknown'}, isReported: boolean): boolean {
	if (outcome.reason === 'answer_too_large') {
		return false;
	}

	return req.isRepeatable || !isReported;
}

function toTry(result: ExchangeResult): Try {
	switch (result.kind) {
		case 'answered': {
			return readAnswer(result);
		}

		case 'not_sent': {
			return {
				outcome: {
					kind: 'not-run', reason: 'peer_unreachable', detail: result.detail, retryAfterMs: 0,
				}, isKeySpent: false, isReported: false,
			};
		}

		case 'cancelled': {
			return {outcome: {kind: 'unknown', reason: 'host_lost', detail: 'the entry host fell silent'}, isKeySpent: false, isReported: false};
		}

		case 'overdue': {
			return {outcome: {kind: 'unknown', reason: 'answer_overdue', detail: 'no answer within the deadline'}, isKeySpent: false, isReported: false};
		}

		case 'too_large': {
			return {outcome: {kind: 'unknown', reason: 'answer_too_large', detail: 'the answer is larger than the limit'}, isKeySpent: false, isReported: false};
		}

		case 'broken': {
			return {outcome: {kind: 'unknown', reason: 'answer_broken', detail: result.detail}, isKeySpent: false, isReported: false};
		}

		case 'lost': {
			return {outcome: {kind: 'unknown', reason: 'connection_lost', detail: 'the connection to the entry host was lost'}, isKeySpent: false, isReported: false};
		}
	}
}

function readAnswer(result: ExchangeResult & {kind: 'answered'}): Try {
	const {headers} = result;
	const told = Outcome.safeParse({
		kind: headers['cowslipspar-outcome'],
		reason: headers['cowslipspar-reason'],
		detail: new TextDecoder().decode(result.body),
		retryAfterMs: Number(headers['cowslipspar-retry-after-ms'] ?? 0),
		status: result.status,
		headers,
		body: result.body,
		isReplay: headers['cowslipspar-replay'] === '1',
	});
	if (!told.success) {
		return {outcome: {kind: 'unknown', reason: 'answer_broken', detail: `status ${result.status} without an outcome`}, isKeySpent: false, isReported: false};
	}

	const isKeySpent = told.data.kind === 'not-run' && told.data.reason === 'token_sealed';
	return {outcome: told.data, isKeySpent, isReported: true};
}

import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Clock} from '../contracts/clock.js';
import {type Store} from '../contracts/store.js';
import {leastTransferRate} from '../decisions/least-transfer-rate.js';
import {type Result} from '../result.js';
import {httpExchange} from './http-exchange.js';
import {PoolSet} from './pool-set.js';

type ConsulStoreOptions = {
	/** IPv4 address and port of the store. */
	readonly address: string;
	/** Prefix of every key in the store. */
	readonly prefix: string;
	/**
	 * Timeout until the store begins to respond, in addition to the wait time of a watch, and of each window in which the body of the
	 * response must make progress, in milliseconds.
	 */
	readonly timeoutMs: number;
	readonly clock: Clock;
	/** Called for each call with its kind, to count the calls, for which the platform charges. */
	readonly onCall: (kind: 'get' | 'put' | 'watch') => void;
};

type StoreRequest = Pick<Parameters<typeof httpExchange>[0], 'method' | 'path' | 'timeoutMs' | 'body' | 'signal'>;
type StoreFailure = Awaited<ReturnType<Store['get']>> & {success: false};

/** Limit of the response body: a value of one megabyte in base64 with the JSON around it. */
const maxAnswerBytes = 2_000_000;

/** Response to a read in the Consul KV HTTP API. */
const Entries = z.array(z.object({

	Value: z.string().nullable(),
	ModifyIndex: z.int().min(1),

})).length(1);

/** Client of the platform's store, which has the Consul KV HTTP API, v1: `GET /v1/kv/KEY`, `PUT /v1/kv/KEY?cas=INDEX`, blocking queries. */
export class ConsulStore implements Store {
	readonly #options: ConsulStoreOptions;
	readonly #pools: PoolSet;

	constructor(options: ConsulStoreOptions) {
		this.#options = options;
		this.#pools = new PoolSet({
			clock: options.clock, idleLimitMs: 2000, connectTimeoutMs: options.timeoutMs, exchangeLimitMs: 600_000, maxConnections: 32,
		});
	}

	async get(key: string): ReturnType<Store['get']> {
		this.#options.onCall('get');
		return this.#read(this.#path(key), this.#options.timeoutMs);
	}

	async watch(key: string, afterVersion: number, waitMs: number, signal: AbortSignal): ReturnType<Store['watch']> {
		this.#options.onCall('watch');
		return this.#read(`${this.#path(key)}?index=${afterVersion}&wait=${waitMs}ms`, waitMs + this.#options.timeoutMs, signal);
	}

	async put(key: string, value: string, expectedVersion: number): ReturnType<Store['put']> {
		this.#options.onCall('put');
		const res = await this.#exchange({
			method: 'PUT', path: `${this.#path(key)}?cas=${expectedVersion}`, timeoutMs: this.#options.timeoutMs, body: Buffer.from(value), signal: undefined,
		});
		if (!res.success) {
			return res;
		}

		const text = Buffer.from(res.data.body).toString().trim();
		if (res.data.status !== 200 || (text !== 'true' && text !== 'false')) {
			return {success: false, error: {code: 'invalid_answer', message: `status ${res.data.status}: ${text.slice(0, 200)}`}};
		}

		return {success: true, data: {isSwapped: text === 'true'}};
	}

	/** Closes the connections to the store. */
	close(): void {
		this.#pools.close();
	}

	#path(key: string): string {
		return `/v1/kv/${this.#options.prefix}${key}`;
	}

	async #read(path: string, timeoutMs: number, signal?: AbortSignal): ReturnType<Store['get']> {
		const res = await this.#exchange({
			method: 'GET', path, timeoutMs, body: undefined, signal,
		});
		if (!res.success) {
			return res;
		}

		if (res.data.status === 404) {
			return {success: true, data: undefined};
		}

		const entries = Entries.safeParse(parseJson(res.data.body));
		if (res.data.status !== 200 || !entries.success) {
			return {success: false, error: {code: 'invalid_answer', message: `status ${res.data.status}, body of an unexpected shape`}};
		}

		const entry = entries.data[0]!;
		return {success: true, data: {value: Buffer.from(entry.Value ?? '', 'base64').toString(), version: entry.ModifyIndex}};
	}

	async #exchange(request: StoreRequest): Promise<Result<{status: number; body: Uint8Array}, StoreFailure['error']>> {
		const result = await httpExchange({
			pool: this.#pools.get(this.#options.address),
			...request,
			headers: {},
			bodyProgress: {windowMs: this.#options.timeoutMs, leastBytesPerMs: leastTransferRate(undefined)},
			maxAnswerBytes,
			startMs: this.#options.clock.nowMs(),
		});
		switch (result.kind) {
			case 'answered': {
				if (result.status === 429) {
					return {success: false, error: {code: 'throttled', message: 'the store rejected the call because of its rate limit'}};
				}

				if (result.status >= 500) {
					return {success: false, error: {code: 'unavailable', message: `the store responded with status ${result.status}`}};
				}

				return {success: true, data: result};
			}

			case 'not_sent': {
				return {success: false, error: {code: 'unavailable', message: result.detail}};
			}

			case 'too_large': {
				return {success: false, error: {code: 'invalid_answer', message: 'the response is larger than the largest value allowed'}};
			}

			case 'overdue':
			case 'cancelled': {
				return {success: false, error: {code: 'lost_answer', message: `no complete response: ${result.kind}`}};
			}

			case 'broken':
			case 'lost': {
				return {success: false, error: {code: 'lost_answer', message: 'the connection was lost before the response was complete'}};
			}
		}
	}
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString());
	} catch {
		return undefined;
	}
}

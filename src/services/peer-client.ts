import {Buffer} from 'node:buffer';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {httpExchange} from '../adapters/http-exchange.js';
import {PoolSet} from '../adapters/pool-set.js';
import {type Clock} from '../contracts/clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {type Work} from '../contracts/work.js';
import {decodeAnswer} from './work-wire.js';
import {type PeerRouter} from './peer-router.js';
import {type SteeringRouter} from './steering-router.js';

/** How a peer is asked to handle a request: as owner of the slots, as home of its key, or as entry to its region. */
type ForwardRole = 'owner' | 'home' | 'region';

type ForwardTarget = {readonly address: string; readonly role: ForwardRole};

/** A forwarded request has an outcome, or the peer got nothing of it, or nobody knows. */
type ForwardResult =
	| {readonly kind: 'outcome'; readonly outcome: Outcome}
	| {readonly kind: 'not_sent'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string};

/** Silence after which a connection between daemons is not used again, in milliseconds. */
const idleLimitMs = 3000;
const connectTimeoutMs = 1000;
const exchangeLimitMs = 604_800_000;
const maxConnections = 512;
/** Time beyond a deadline in which a peer may still tell that the request did not run, in milliseconds. */
const hearingMs = 100;
/** Time allowed for a control call, in milliseconds. */
const controlTimeoutMs = 1500;
/** Bytes of the answer to a control call: a whole configuration. */
const maxControlBytes = 33_554_432;

/** Calls to other daemons: tRPC for control, plain HTTP for the bodies of requests and answers. */
export class PeerClient {
	readonly #clock: Clock;
	readonly #maxAnswerBytes: number;
	readonly #pools: PoolSet;
	readonly #clients = new Map<string, TRPCClient<PeerRouter>>();

	constructor(clock: Clock, maxAnswerBytes: number) {
		this.#clock = clock;
		this.#maxAnswerBytes = maxAnswerBytes;
		this.#pools = new PoolSet({
			clock, idleLimitMs, connectTimeoutMs, exchangeLimitMs, maxConnections,
		});
	}

	/** Connections open to other daemons. */
	get connections(): number {
		return this.#pools.size;
	}

	/** Typed control calls to the daemon at an address. */
	control(address: string): TRPCClient<PeerRouter> {
		return this.#client(address);
	}

	/** Typed control calls to a daemon that serves published routes. */
	steering(address: string): TRPCClient<SteeringRouter> {
		return this.#client(address) as unknown as TRPCClient<SteeringRouter>;
	}

	/** Passes a request on to another daemon. */
	async forward(target: ForwardTarget, work: Work, body: Uint8Array, signal: AbortSignal): Promise<ForwardResult> {
		const result = await httpExchange({
			pool: this.#pools.get(target.address),
			method: 'POST',
			path: `/work/${target.role}`,
			headers: {'content-type': 'application/octet-stream', 'cowslipspar-work': encodeURIComponent(JSON.stringify(work))},
			body: body.byteLength === 0 ? undefined : body,
			timeoutMs: work.remainingMs + hearingMs,
			maxAnswerBytes: this.#maxAnswerBytes,
			signal,
			startMs: this.#clock.nowMs(),
			requestId: work.requestId,
		});
		switch (result.kind) {
			case 'answered': {
				const decoded = decodeAnswer(result);
				if (decoded.kind === 'lost') {
					// Whatever speaks there is no daemon of ours; nothing else goes over these connections.
					this.#pools.get(target.address).condemn(this.#clock.nowMs());
				}

				return decoded;
			}

			case 'not_sent': {
				return {kind: 'not_sent', detail: result.detail};
			}

			case 'too_large':
			case 'broken':
			case 'overdue':
			case 'cancelled': {
				return {kind: 'lost', detail: result.kind};
			}

			case 'lost': {
				return {kind: 'lost', detail: result.detail};
			}
		}
	}

	/** Closes idle connections and forgets addresses without any. */
	sweep(): void {
		this.#pools.sweep();
		if (this.#clients.size > 1000) {
			this.#clients.clear();
		}
	}

	close(): void {
		this.#pools.close();
	}

	#client(address: string): TRPCClient<PeerRouter> {
		let client = this.#clients.get(address);
		if (client === undefined) {
			client = createTRPCClient<PeerRouter>({
				links: [httpLink({
					url: `http://${address}/trpc`,
					fetch: async (url, init) => this.#fetch(address, url as string, init as RequestInit),
				})],
			});
			this.#clients.set(address, client);
		}

		return client;
	}

	/** Fetch for tRPC over the pooled connections, so that silent ones are found here too. */
	async #fetch(address: string, url: string, init: RequestInit): Promise<Response> {
		const target = new URL(url);
		const result = await httpExchange({
			pool: this.#pools.get(address),
			method: init.method ?? 'GET',
			path: target.pathname + target.search,
			headers: {'content-type': 'application/json'},
			body: init.body === undefined || init.body === null ? undefined : Buffer.from(init.body as string),
			timeoutMs: controlTimeoutMs,
			maxAnswerBytes: maxControlBytes,
			signal: init.signal ?? undefined,
			startMs: this.#clock.nowMs(),
		});
		if (result.kind !== 'answered') {
			throw new Error(`no answer from ${address}: ${result.kind}`);
		}

		return new Response(result.body as Uint8Array<ArrayBuffer>, {status: result.status, headers: {'content-type': 'application/json'}});
	}
}

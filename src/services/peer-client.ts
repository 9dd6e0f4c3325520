import {Buffer} from 'node:buffer';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {httpExchange} from '../adapters/http-exchange.js';
import {PoolSet} from '../adapters/pool-set.js';
import {type Clock} from '../contracts/clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {type RequestHead} from '../contracts/request-head.js';
import {leastTransferRate} from '../decisions/least-transfer-rate.js';
import {decodeForwardedOutcome} from './decode-forwarded-outcome.js';
import {type PeerRouter} from './peer-router.js';
import {type SteeringRouter} from './steering-router.js';

/** Role in which a peer handles a forwarded request: owner of the slots, home of the key, or entry host of its region. */
type ForwardRole = 'owner' | 'home' | 'region';

type ForwardTarget = {readonly address: string; readonly role: ForwardRole};

/**
 * Result of forwarding: an outcome, `not_sent` if the peer received no part of the request, or `lost` if it is unknown
 * whether the request ran.
 */
type ForwardResult =
	| {readonly kind: 'outcome'; readonly outcome: Outcome}
	| {readonly kind: 'not_sent'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string};

/** Time without received data after which a connection between daemons is not used again. */
const idleLimitMs = 3000;
const connectTimeoutMs = 1000;
/** One week; the time limit of each exchange is set by its caller. */
const exchangeLimitMs = 604_800_000;
const maxConnections = 512;
/** Time beyond the deadline in which a peer may still report that the request did not run. */
const responseMarginMs = 100;
/** Time limit of a control call until the head of its response. */
const controlTimeoutMs = 1500;
/** Length of the windows in which the body of such a response must make progress. */
const progressWindowMs = 600;
/** Maximum size of the response to a control call; the largest response is a whole configuration. */
const maxControlResponseBytes = 33_554_432;

/** Client for calls to other daemons: tRPC for control calls, plain HTTP for forwarded requests and their responses. */
export class PeerClient {
	readonly #clock: Clock;
	readonly #maxResponseBytes: number;
	readonly #leastBytesPerMs: number;
	readonly #pools: PoolSet;
	readonly #clients = new Map<string, TRPCClient<PeerRouter>>();

	/** `linkMbps` is the bandwidth of this host's link, in megabits per second; `undefined` if it is not known. */
	constructor(clock: Clock, maxResponseBytes: number, linkMbps?: number) {
		this.#clock = clock;
		this.#maxResponseBytes = maxResponseBytes;
		this.#leastBytesPerMs = leastTransferRate(linkMbps);
		this.#pools = new PoolSet({
			clock, idleLimitMs, connectTimeoutMs, exchangeLimitMs, maxConnections,
		});
	}

	/** Number of open connections to other daemons. */
	get connections(): number {
		return this.#pools.size;
	}

	/** Returns the typed client for control calls to the daemon at an address. `onProgress` is called while the body of a response makes progress. */
	control(address: string, onProgress?: () => void): TRPCClient<PeerRouter> {
		return onProgress === undefined ? this.#client(address) : this.#createClient(address, onProgress);
	}

	/** Returns the typed client for control calls to a steering daemon, which serves published routes; `onProgress` as above. */
	steering(address: string, onProgress?: () => void): TRPCClient<SteeringRouter> {
		return this.control(address, onProgress) as unknown as TRPCClient<SteeringRouter>;
	}

	/** Forwards a request to another daemon. */
	async forward(target: ForwardTarget, head: RequestHead, body: Uint8Array, signal: AbortSignal): Promise<ForwardResult> {
		const result = await httpExchange({
			pool: this.#pools.get(target.address),
			method: 'POST',
			path: `/work/${target.role}`,
			headers: {'content-type': 'application/octet-stream', 'cowslipspar-work': encodeURIComponent(JSON.stringify(head))},
			body: body.byteLength === 0 ? undefined : body,
			timeoutMs: head.remainingMs + responseMarginMs,
			maxAnswerBytes: this.#maxResponseBytes,
			signal,
			startMs: this.#clock.nowMs(),
			requestId: head.requestId,
		});
		switch (result.kind) {
			case 'answered': {
				const decoded = decodeForwardedOutcome(result);
				if (decoded.kind === 'lost') {
					// The peer does not follow the daemons' protocol, so its connections are not used again.
					this.#pools.get(target.address).closeIdleSince(this.#clock.nowMs());
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

	/** Closes idle connections and removes the pools of addresses that have no connections left. */
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
			client = this.#createClient(address);
			this.#clients.set(address, client);
		}

		return client;
	}

	#createClient(address: string, onProgress?: () => void): TRPCClient<PeerRouter> {
		return createTRPCClient<PeerRouter>({
			links: [httpLink({
				url: `http://${address}/trpc`,
				fetch: async (url, init) => this.#fetch(address, url as string, init as RequestInit, onProgress),
			})],
		});
	}

	/** Implements fetch for tRPC over the pooled connections, so that control calls also detect unresponsive connections. */
	async #fetch(address: string, url: string, init: RequestInit, onProgress: (() => void) | undefined): Promise<Response> {
		const target = new URL(url);
		const result = await httpExchange({
			pool: this.#pools.get(address),
			method: init.method ?? 'GET',
			path: target.pathname + target.search,
			headers: {'content-type': 'application/json'},
			body: init.body === undefined || init.body === null ? undefined : Buffer.from(init.body as string),
			timeoutMs: controlTimeoutMs,
			bodyProgress: {windowMs: progressWindowMs, leastBytesPerMs: this.#leastBytesPerMs, onProgress},
			maxAnswerBytes: maxControlResponseBytes,
			signal: init.signal ?? undefined,
			startMs: this.#clock.nowMs(),
		});
		if (result.kind !== 'answered') {
			throw new Error(`no response from ${address}: ${result.kind}`);
		}

		return new Response(result.body as Uint8Array<ArrayBuffer>, {status: result.status, headers: {'content-type': 'application/json'}});
	}
}

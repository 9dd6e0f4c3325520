import {z} from 'zod';
import {type Account} from '../../contracts/account.js';
import {type Clock} from '../../contracts/clock.js';
import {type QuotaAsk} from '../../contracts/quota-ask.js';
import {QuotaOffer} from '../../contracts/quota-offer.js';
import {type QuotaShare} from '../../decisions/quota-share.js';
import {QuotaWaiters} from '../../decisions/quota-waiters.js';
import {type Lifecycle} from '../../kernel/lifecycle.js';
import {type Logger} from '../logger.js';
import {type Metrics} from '../metrics.js';
import {type PeerClient} from '../peer-client.js';
import {type SteeringService} from '../steering-service.js';

type QuotaOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'debug'>;
	readonly metrics: Pick<Metrics, 'count' | 'observe' | 'gauge'>;
	readonly steering: Pick<SteeringService, 'onRoutes' | 'hosts' | 'quotaSlots'>;
	readonly peerClient: Pick<PeerClient, 'steering'>;
	readonly share: QuotaShare;
	readonly host: {readonly id: string; readonly region: string};
};

type QuotaResult =
	| {readonly kind: 'granted'; readonly hasWaited: boolean; giveBack(): void}
	/** `figures` are the inputs of the decision, for the log. */
	| {readonly kind: 'over_quota'; readonly retryAfterMs: number; readonly figures: Readonly<Record<string, string | number>>};

type WaitingRequest = {readonly resolve: (token: ReturnType<QuotaShare['take']>) => void};

/** Time for which a request waits for a token from a peer; a call to another region takes 110 ms. */
const maxWaitMs = 150;
/** Time limit of a call to a peer; tokens that arrive later are void. */
const callTimeoutMs = 300;
/** Interval at which waits are ended and further tokens borrowed. */
const tickMs = 25;

/** Keeps the requests of each account within its quota over all hosts: grants tokens, and borrows them from peers and lends them. */
export class QuotaService {
	readonly #options: QuotaOptions;
	readonly #waiters = new QuotaWaiters<WaitingRequest>();
	readonly #busyPeers = new Set<string>();
	#nextPlanMs = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	constructor(options: QuotaOptions) {
		this.#options = options;
	}

	start(lifecycle: Pick<Lifecycle, 'every' | 'addCleanup'>): void {
		const {steering, share, clock, metrics} = this.#options;
		steering.onRoutes(({accounts}) => {
			share.setAccounts(accounts.values(), clock.nowMs());
		});
		metrics.gauge('quota_waiting', () => this.#waiters.size);
		lifecycle.every('quota loans', tickMs, () => {
			this.#update();
		});
		lifecycle.addCleanup('quota loans', () => {
			this.#isClosed = true;
		});
	}

	/** Takes a token for one request, which waits for one up to a limit and its deadline. */
	async take(account: Account, deadlineMs: number): Promise<QuotaResult> {
		const {clock, share, metrics} = this.#options;
		if (account.quota === undefined) {
			return {kind: 'granted', hasWaited: false, giveBack: () => undefined};
		}

		const {name} = account;
		const startMs = clock.nowMs();
		share.recordRequest(name, startMs);
		const tokenAtOnce = this.#waiters.countOf(name) === 0 ? share.take(name, startMs) : undefined;
		const token = tokenAtOnce ?? await this.#waitForToken(name, deadlineMs);
		const nowMs = clock.nowMs();
		if (token === undefined) {
			metrics.count('quota_decisions', {result: 'over_quota'});
			const {tokens, slots, ratePerSecond} = share.describe(name, nowMs);
			return {
				kind: 'over_quota', retryAfterMs: share.retryAfterMs(name, nowMs), figures: {
					ratePerSecond, slots, tokens: Number(tokens.toFixed(2)), waiting: this.#waiters.countOf(name), waitedMs: Math.round(nowMs - startMs),
				},
			};
		}

		metrics.count('quota_decisions', {result: 'granted'});
		metrics.observe('quota_wait_seconds', {}, nowMs - startMs);
		return {
			kind: 'granted', hasWaited: tokenAtOnce === undefined, giveBack() {
				metrics.count('quota_tokens_returned');
				share.giveBack(token, clock.nowMs());
			},
		};
	}

	/** Lends to a peer. */
	lend(asks: readonly QuotaAsk[]): QuotaOffer[] {
		const {share, clock, metrics} = this.#options;
		metrics.count('quota_calls_received');
		return share.lend(asks, clock.nowMs());
	}

	async #waitForToken(account: string, deadlineMs: number): Promise<ReturnType<QuotaShare['take']>> {
		const {clock, share} = this.#options;
		const nowMs = clock.nowMs();
		const waitMs = Math.min(maxWaitMs, deadlineMs - nowMs);
		if (this.#isClosed || waitMs <= 0 || !share.mayWait(account, this.#waiters.countOf(account), waitMs, nowMs)) {
			// The demand is known now, so that later requests may find a token.
			this.#update();
			return undefined;
		}

		return new Promise(resolve => {
			this.#waiters.add(account, {resolve}, nowMs + waitMs);
			this.#update();
		});
	}

	/** Ends waits, and borrows what is missing. */
	#update(): void {
		const {share, clock, steering} = this.#options;
		for (const {item, token} of this.#waiters.end(share, clock.nowMs())) {
			item.resolve(token);
		}

		const nowMs = clock.nowMs();
		if (this.#isClosed || nowMs < this.#nextPlanMs || !share.isBorrowing(nowMs)) {
			return;
		}

		// Requests that arrive together are asked for together.
		this.#nextPlanMs = nowMs + tickMs;
		const calls = share.plan(this.#holders(), this.#waiters.counts, nowMs);
		for (const [peer, asks] of calls) {
			const address = steering.hosts.get(peer)?.address;
			if (address !== undefined) {
				void this.#borrow(peer, address, asks);
			}
		}
	}

	/** Returns the hosts with slots that may be asked. */
	#holders(): Array<{readonly id: string; readonly slots: number; readonly isNear: boolean}> {
		const {steering, host} = this.#options;
		const counts = new Map<string, number>();
		for (const {host: id} of steering.quotaSlots.values()) {
			if (id !== host.id && !this.#busyPeers.has(id) && steering.hosts.has(id)) {
				counts.set(id, (counts.get(id) ?? 0) + 1);
			}
		}

		return [...counts].map(([id, slots]) => ({id, slots, isNear: steering.hosts.get(id)!.region === host.region}));
	}

	async #borrow(peer: string, address: string, asks: readonly QuotaAsk[]): Promise<void> {
		const {peerClient, share, clock, metrics, logger} = this.#options;
		const call = {peer, asks, askedMs: clock.nowMs()};
		this.#busyPeers.add(peer);
		try {
			const response = await peerClient.steering(address).lend.mutate({asks: [...asks]}, {signal: AbortSignal.timeout(callTimeoutMs)});
			share.receive(call, z.array(QuotaOffer).parse(response), clock.nowMs());
			metrics.count('quota_calls', {result: 'answered'});
		} catch (err) {
			share.recordFailure(call, clock.nowMs());
			metrics.count('quota_calls', {result: 'failed'});
			logger.debug('borrowing quota tokens from a peer failed', {peer, address, err: String(err)});
		} finally {
			this.#busyPeers.delete(peer);
		}

		this.#update();
	}
}

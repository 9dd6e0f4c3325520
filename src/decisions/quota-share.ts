import {type Account} from '../contracts/account.js';
import {type QuotaAsk} from '../contracts/quota-ask.js';
import {type QuotaOffer} from '../contracts/quota-offer.js';
import {lendableTokens} from './lendable-tokens.js';
import {type QuotaAccount} from './quota-account.js';
import {QuotaBucket} from './quota-bucket.js';
import {QuotaDemand} from './quota-demand.js';
import {quotaLimits} from './quota-limits.js';
import {QuotaPurse} from './quota-purse.js';

type QuotaShareOptions = {
	readonly bounds: Parameters<typeof quotaLimits>[1];
	/** Number of slots into which each quota is divided. */
	readonly slots: number;
};

/** Token that a request holds. */
type Token = {readonly account: string; readonly takenMs: number; readonly fromBucket: number; readonly fromPurse: ReturnType<QuotaPurse['take']>};

type Call = {
	readonly peer: string;
	readonly asks: readonly QuotaAsk[];
	/** Time before the call was sent: the loans count from it. */
	readonly askedMs: number;
};

/** Peer that has slots, and how many. */
type SlotHolder = {readonly id: string; readonly slots: number; readonly isNear: boolean};

/** Longest time for which a rate is lent. A host that takes over slots of its previous process waits for as long. */
const rateLoanMs = 2000;
/** Time for which a peer with no share, or with no token in sight, is not asked again. */
const maxDenialMs = 5000;
/** Time for which a peer that did not respond is not asked again. */
const failureDenialMs = 500;
/** Shortest time for which a peer that gave less than it was asked for is not asked again. */
const minDenialMs = 20;
/** Part of its bucket for which a host lets a borrower wait, before it overflows. */
const maxAskedShare = 0.75;
/** A rate below this number of tokens in the life of a loan is not lent: fractions would expire, and each loan costs calls. */
const minLentTokens = 2;
/** A host that has requests of the account lends only this part of its tokens and its rate. */
const lentShare = 0.5;
/** Time that a call to another region takes: tokens that are void sooner are not given back. */
const returnMs = 60;
/** Number of requests of an account that may wait at one host whatever its rate. */
const minWaiting = 4;
/** Fractions of a token add up with rounding errors. */
const roundingError = 1e-6;

/**
 * One host's part of the quotas of all accounts. Slots mint tokens; other hosts borrow tokens, or the right to mint, for a
 * short time. A token that is lost with a message or a process is not replaced. Designed for some hundred accounts with
 * quotas and some thousand requests a second.
 */
export class QuotaShare {
	/** Longest time for which a rate is lent, in milliseconds. */
	static readonly rateLoanMs = rateLoanMs;
	readonly #options: QuotaShareOptions;
	readonly #accounts = new Map<string, QuotaAccount>();
	#slots = {count: 0, validUntilMs: 0};

	constructor(options: QuotaShareOptions) {
		this.#options = options;
	}

	/** Replaces the accounts. Those without a quota are ignored. */
	setAccounts(accounts: Iterable<Account>, nowMs: number): void {
		const names = new Set<string>();
		for (const {name, quota} of accounts) {
			if (quota !== undefined) {
				names.add(name);
				const limits = quotaLimits(quota, this.#options.bounds);
				const state = this.#accounts.get(name) ?? {
					limits, bucket: new QuotaBucket(), purse: new QuotaPurse(), demand: new QuotaDemand(), asked: 0, removedMs: undefined,
				};
				state.limits = limits;
				state.removedMs = undefined;
				this.#accounts.set(name, state);
				this.#applySlots(state, nowMs);
			}
		}

		for (const [name, state] of this.#accounts) {
			if (!names.has(name)) {
				this.#retire(name, state, nowMs);
			}
		}
	}

	/** Sets the number of slots for which this host mints, and when it has to stop, in monotonic milliseconds. */
	setSlots(count: number, validUntilMs: number, nowMs: number): void {
		this.#slots = {count, validUntilMs};
		for (const state of this.#accounts.values()) {
			this.#applySlots(state, nowMs);
		}
	}

	/** Records a request of an account. */
	recordRequest(account: string, nowMs: number): void {
		this.#accounts.get(account)?.demand.record(nowMs);
	}

	/** Takes a token; `undefined` if there is none. */
	take(account: string, nowMs: number): Token | undefined {
		const state = this.#accounts.get(account);
		if (state === undefined || this.#level(state, nowMs) < 1 - roundingError) {
			state?.demand.recordShort(nowMs);
			return undefined;
		}

		// Tokens outside of the bucket are void soon.
		const fromPurse = state.purse.take(1, nowMs);
		const missing = 1 - fromPurse.reduce((sum, part) => sum + part.tokens, 0);
		return {
			account, takenMs: nowMs, fromPurse, fromBucket: state.bucket.take(missing, nowMs),
		};
	}

	/** Whether a request may wait for a token with `waiting` others, for at most `waitMs`. */
	mayWait(account: string, waiting: number, waitMs: number, nowMs: number): boolean {
		const state = this.#accounts.get(account);
		if (state === undefined) {
			return false;
		}

		// More requests than the limit admits in that time would only be refused later.
		const isHopeless = nowMs < state.demand.notBeforeMs && state.bucket.waitMs(1, nowMs) > waitMs;
		return !isHopeless && waiting < Math.max(minWaiting, state.limits.ratePerMs * waitMs);
	}

	/** Returns the token of a request that certainly does not run. */
	giveBack({account, takenMs, fromBucket, fromPurse}: Token, nowMs: number): void {
		const state = this.#accounts.get(account);
		if (state !== undefined) {
			state.purse.putBack(fromPurse, nowMs);
			// A token that left the bucket does not go back to it, since the bucket has refilled.
			state.purse.addLump({tokens: fromBucket, expiresMs: takenMs + state.limits.loanMs, loan: undefined}, nowMs);
		}
	}

	/** Whether any account has had requests lately, so that there may be something to borrow. */
	isBorrowing(nowMs: number): boolean {
		for (const {demand} of this.#accounts.values()) {
			if (demand.isRecent(nowMs)) {
				return true;
			}
		}

		return false;
	}

	/** Lends to a peer. What is lent is subtracted before this returns. */
	lend(asks: readonly QuotaAsk[], nowMs: number): QuotaOffer[] {
		return asks.map(ask => this.#lend(ask, nowMs));
	}

	/**
	 * Returns what to ask of the peers. `holders` are the ones that may be asked now; `waiting` is the number of requests that wait
	 * for a token by account. Each call that is returned has to end with `receive` or `recordFailure`.
	 */
	plan(holders: readonly SlotHolder[], waiting: ReadonlyMap<string, number>, nowMs: number): ReadonlyMap<string, QuotaAsk[]> {
		const calls = new Map<string, QuotaAsk[]>();
		const peers = holders.map(({id, slots, isNear}) => ({id, isNear, share: slots / this.#options.slots}));
		for (const [account, state] of this.#accounts) {
			if (!state.demand.isRecent(nowMs)) {
				continue;
			}

			const {limits} = state;
			const wants = state.demand.plan(peers, {
				nowMs,
				tokens: this.#level(state, nowMs) + state.asked,
				waiting: waiting.get(account) ?? 0,
				limitPerMs: limits.ratePerMs,
				ownRatePerMs: state.bucket.freeRatePerMs(nowMs),
				streams: state.purse.streams(nowMs),
				depth: limits.depth,
				loanMs: limits.loanMs,
			});
			const hasShare = state.bucket.hasShare(nowMs);
			for (const [peer, returns] of this.#returns(state, waiting.get(account) ?? 0, peers, nowMs)) {
				calls.set(peer, [...(calls.get(peer) ?? []), {
					account, tokens: 0, ratePerSecond: 0, hasShare, returns,
				}]);
			}

			for (const {peer, tokens, ratePerMs, renews} of wants) {
				state.asked += tokens;
				calls.set(peer, [...(calls.get(peer) ?? []), {
					account, tokens, ratePerSecond: ratePerMs * 1000, hasShare, ...(renews !== undefined && {renews}),
				}]);
			}
		}

		return calls;
	}

	/** Records the response to a call, once. */
	receive({peer, asks, askedMs}: Call, offers: readonly QuotaOffer[], nowMs: number): void {
		this.#endCall(asks);
		for (const offer of offers) {
			const state = this.#accounts.get(offer.account);
			const ask = asks.find(other => other.account === offer.account);
			if (state !== undefined && ask !== undefined) {
				const endMs = askedMs + offer.rateMs;
				state.purse.addLump({tokens: offer.tokens, expiresMs: askedMs + offer.loanMs, loan: {peer, loanId: offer.tokensId}}, nowMs);
				state.purse.addStream({
					peer, loanId: offer.loanId, ratePerMs: offer.ratePerSecond / 1000, endMs, loanMs: offer.loanMs,
				}, nowMs);
				if (ask.renews === offer.loanId) {
					state.purse.renewStream(peer, offer.loanId, endMs, nowMs);
				}

				if (ask.returns !== undefined) {
					continue;
				}

				state.demand.recordOffer(peer, {isFruitful: offer.tokens > 0 || offer.rateMs > 0, waitMs: Math.max(0, askedMs + offer.waitMs - nowMs)}, nowMs);
			}
		}
	}

	/** Records that a call brought no response. What was lent is lost. */
	recordFailure({peer, asks}: Call, nowMs: number): void {
		this.#endCall(asks);
		for (const {account} of asks) {
			this.#accounts.get(account)?.demand.recordOffer(peer, {isFruitful: false, waitMs: failureDenialMs}, nowMs);
		}
	}

	/** Returns the time until a further request may get a token, in milliseconds. */
	retryAfterMs(account: string, nowMs: number): number {
		const state = this.#accounts.get(account);
		return state === undefined ? maxDenialMs : Math.max(1 / state.limits.ratePerMs, state.demand.notBeforeMs - nowMs);
	}

	/** Returns the figures that decide on an account's requests, for the log. */
	describe(account: string, nowMs: number): {readonly tokens: number; readonly slots: number; readonly ratePerSecond: number} {
		const state = this.#accounts.get(account);
		return {
			tokens: state === undefined ? 0 : this.#level(state, nowMs),
			slots: nowMs < this.#slots.validUntilMs ? this.#slots.count : 0,
			ratePerSecond: (state?.limits.ratePerMs ?? 0) * 1000,
		};
	}

	/** Keeps what was lent in mind until it has ended, since the quota may be added again at once. */
	#retire(name: string, state: QuotaAccount, nowMs: number): void {
		state.removedMs ??= nowMs;
		if (nowMs - state.removedMs > rateLoanMs) {
			this.#accounts.delete(name);
		} else {
			state.bucket.setShare({
				ratePerMs: 0, depth: 0, validUntilMs: 0, loanMs: 0, outsideMs: 0,
			}, nowMs);
		}
	}

	#level(state: QuotaAccount, nowMs: number): number {
		return state.bucket.level(nowMs) + state.purse.level(nowMs);
	}

	#applySlots({limits, bucket, removedMs}: QuotaAccount, nowMs: number): void {
		if (removedMs !== undefined) {
			return;
		}

		const part = this.#slots.count / this.#options.slots;
		bucket.setShare({
			ratePerMs: limits.ratePerMs * part, depth: limits.depth * part, validUntilMs: this.#slots.validUntilMs, loanMs: limits.loanMs, outsideMs: limits.outsideMs,
		}, nowMs);
	}

	/** Returns what to give back to which peer, once requests have moved to another host. */
	#returns({demand, purse}: QuotaAccount, waiting: number, peers: ReadonlyArray<{readonly id: string}>, nowMs: number): ReadonlyMap<string, NonNullable<QuotaAsk['returns']>> {
		const returns = new Map<string, NonNullable<QuotaAsk['returns']>>();
		if (waiting === 0 && demand.isIdle(nowMs)) {
			for (const {peer, loanId, tokens} of purse.removeLumps(new Set(peers.map(({id}) => id)), nowMs + returnMs)) {
				returns.set(peer, [...(returns.get(peer) ?? []), {loanId, tokens}]);
			}
		}

		return returns;
	}

	#lend({account, tokens, ratePerSecond, renews, returns, hasShare}: QuotaAsk, nowMs: number): QuotaOffer {
		const state = this.#accounts.get(account);
		const nothing = {
			account, tokens: 0, tokensId: 0, ratePerSecond: 0, loanId: 0, rateMs: 0, loanMs: 0, waitMs: maxDenialMs,
		};
		if (!state?.bucket.hasShare(nowMs)) {
			return nothing;
		}

		const {bucket, demand, limits} = state;
		if (returns !== undefined) {
			for (const {loanId, tokens: returned} of returns) {
				bucket.takeBack(loanId, returned, nowMs);
			}

			return {...nothing, waitMs: 0};
		}

		// Time until asking for as much again is of use.
		const worthwhile = Math.max(1, Math.min(tokens, maxAskedShare * limits.depth * this.#slots.count / this.#options.slots));
		const waitMs = () => Math.min(maxDenialMs, Math.max(minDenialMs, bucket.waitMs(worthwhile, nowMs)));
		if (renews !== undefined) {
			return {
				...nothing, loanId: renews, rateMs: bucket.renewRate(renews, rateLoanMs, nowMs), waitMs: waitMs(),
			};
		}

		// Hosts with shares that are all short would only exchange their tokens.
		const isShort = demand.isShort(nowMs);
		if (isShort && hasShare) {
			return nothing;
		}

		const part = demand.isRecent(nowMs) ? lentShare : 1;
		const lentTokens = bucket.lendTokens(isShort ? 0 : lendableTokens(tokens, bucket.level(nowMs), part), nowMs);
		const lendablePerMs = Math.min(ratePerSecond / 1000, part * bucket.freeRatePerMs(nowMs));
		const lent = bucket.lendRate(lendablePerMs * limits.loanMs < minLentTokens ? 0 : lendablePerMs, rateLoanMs, nowMs);
		return {
			account,
			tokens: lentTokens.tokens,
			tokensId: lentTokens.id,
			ratePerSecond: lent.ratePerMs * 1000,
			loanId: lent.id,
			rateMs: lent.ratePerMs > 0 ? lent.durationMs : 0,
			loanMs: limits.loanMs,
			waitMs: isShort ? maxDenialMs : waitMs(),
		};
	}

	#endCall(asks: readonly QuotaAsk[]): void {
		for (const {account, tokens} of asks) {
			const state = this.#accounts.get(account);
			if (state !== undefined) {
				state.asked = Math.max(0, state.asked - tokens);
			}
		}
	}
}

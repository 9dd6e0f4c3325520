import {type QuotaPurse} from './quota-purse.js';

type QuotaPeer = {
	/** Id of the host. */
	readonly id: string;
	/** Part of the account's rate that the host mints, from 0 to 1. */
	readonly share: number;
	/** Whether the host is in this host's region. */
	readonly isNear: boolean;
};

type Supply = {
	readonly nowMs: number;
	/** Tokens at this host, and those that calls under way ask for. */
	readonly tokens: number;
	/** Number of requests that wait for a token. */
	readonly waiting: number;
	/** Rate of the whole quota, in tokens per millisecond. */
	readonly limitPerMs: number;
	/** Rate at which this host mints for its own slots, in tokens per millisecond. */
	readonly ownRatePerMs: number;
	/** Rates that are borrowed. */
	readonly streams: ReturnType<QuotaPurse['streams']>;
	/** Tokens that all buckets hold. */
	readonly depth: number;
	readonly loanMs: number;
};

/** What a host asks of a peer for one account. */
type Want = {readonly peer: string; readonly tokens: number; readonly ratePerMs: number; readonly renews: number | undefined};

/** Time constants of the estimates of the demand: for tokens, and for rates, which last longer. */
const demandTimeMs = 250;
const steadyTimeMs = 1000;
/** The first requests say little of a rate. */
const minDurationMs = 20;
const minRequests = 3;
/** Number of waiting requests for which tokens are borrowed whatever the rate. */
const minWaiting = 4;
/** Time without requests after which a host no longer borrows. */
const pauseMs = 50;
/** Time without requests after which demand begins anew. */
const idleMs = 300;
/** Demand that lasted for this time is taken to last longer, so that rates are borrowed in place of tokens. */
const steadyMs = 1500;
/** Part of the life of a loan for which tokens are borrowed ahead. Tokens are lost when the demand moves to another host. */
const aheadShare = 0.4;
/** A rate below this number of tokens in the life of a loan would seldom come to a whole token. */
const minStreamTokens = 2;
/** A rate is borrowed if at least this part of the demand is missing; less is within the estimate's noise. */
const minMissingShare = 0.1;
/** Time before the end of a borrowed rate at which it is renewed: a call to another region, and one more if it fails. */
const renewAheadMs = 450;
/** Bounds of the exponential pause after calls that brought nothing. */
const initialBackoffMs = 100;
const maxBackoffMs = 1600;
/** Time without any token from a peer after which calls are taken to be in vain. */
const fruitlessMs = 300;
/** Time for which a host that was short of tokens keeps its own. */
const shortMs = 300;

/** What one host needs of one account, and whom it asks. Designed for some dozens of peers with shares. */
export class QuotaDemand {
	#recent = 0;
	#steady = 0;
	#updatedMs = 0;
	#sinceMs = 0;
	#lastMs = Number.NEGATIVE_INFINITY;
	#lastShortMs = Number.NEGATIVE_INFINITY;
	#fruitfulMs = Number.NEGATIVE_INFINITY;
	#backoffMs = 0;
	#notBeforeMs = Number.NEGATIVE_INFINITY;
	#rotation = 0;
	readonly #deniedUntilMs = new Map<string, number>();

	/** Time before which peers are not asked, in monotonic milliseconds. */
	get notBeforeMs(): number {
		return this.#notBeforeMs;
	}

	/** Records a request. */
	record(nowMs: number): void {
		if (nowMs - this.#lastMs > idleMs) {
			this.#sinceMs = nowMs;
			this.#recent = 0;
			this.#steady = 0;
		}

		this.#decay(nowMs);
		this.#recent++;
		this.#steady++;
		this.#lastMs = nowMs;
	}

	/** Records that there was no token for a request. */
	recordShort(nowMs: number): void {
		this.#lastShortMs = nowMs;
	}

	/** Whether there were requests lately. */
	isRecent(nowMs: number): boolean {
		return nowMs - this.#lastMs <= idleMs;
	}

	/** Whether requests have ended that came before. */
	isIdle(nowMs: number): boolean {
		return nowMs - this.#lastMs > pauseMs;
	}

	/** Whether there were requests without a token lately. */
	isShort(nowMs: number): boolean {
		return nowMs - this.#lastShortMs <= shortMs;
	}

	/** Records what a peer gave, and the time for which it states that it has no more. */
	recordOffer(peer: string, offer: {readonly isFruitful: boolean; readonly waitMs: number}, nowMs: number): void {
		this.#deniedUntilMs.set(peer, nowMs + offer.waitMs);
		if (offer.isFruitful) {
			this.#fruitfulMs = nowMs;
			this.#backoffMs = 0;
			this.#notBeforeMs = nowMs;
		} else if (nowMs - Math.max(this.#fruitfulMs, this.#sinceMs) > fruitlessMs && nowMs >= this.#notBeforeMs) {
			this.#backoffMs = Math.min(maxBackoffMs, Math.max(initialBackoffMs, this.#backoffMs * 2));
			this.#notBeforeMs = nowMs + this.#backoffMs;
		}
	}

	/** Returns what to ask of whom, out of the peers that may be asked now. */
	plan(peers: readonly QuotaPeer[], supply: Supply): readonly Want[] {
		const {nowMs, streams} = supply;
		// Demand that has moved to another host does not come back.
		if (supply.waiting === 0 && this.isIdle(nowMs)) {
			return [];
		}

		this.#decay(nowMs);
		const ids = new Set(peers.map(peer => peer.id));
		const renewals = streams.filter(stream => stream.endMs - nowMs <= renewAheadMs && ids.has(stream.peer) && this.#isNeeded(stream.ratePerMs, supply))
			.map(stream => ({
				peer: stream.peer, tokens: 0, ratePerMs: 0, renews: stream.loanId,
			}));
		const renewed = new Set(renewals.map(want => want.peer));
		return [...renewals, ...this.#newLoans(peers.filter(peer => !renewed.has(peer.id)), supply)];
	}

	#newLoans(peers: readonly QuotaPeer[], {nowMs, tokens: held, waiting, limitPerMs, ownRatePerMs, streams, depth, loanMs}: Supply): Want[] {
		if (nowMs < this.#notBeforeMs) {
			return [];
		}

		const suppliedPerMs = ownRatePerMs + sumOfRates(streams);
		const recentPerMs = Math.min(rateOf(this.#recent, demandTimeMs, nowMs - this.#sinceMs), limitPerMs);
		const ahead = Math.max(0, recentPerMs - suppliedPerMs) * loanMs * aheadShare;
		// At a low rate, tokens would be void before they are needed.
		const isFrequent = ahead >= 1 && this.#recent >= minRequests;
		let missing = Math.min(waiting, Math.max(minWaiting, limitPerMs * loanMs)) + (isFrequent ? ahead : 0) - held;
		const steadyPerMs = Math.min(lowerBound(rateOf(this.#steady, steadyTimeMs, nowMs - this.#sinceMs), loanMs), limitPerMs);
		let missingPerMs = nowMs - this.#sinceMs >= steadyMs ? steadyPerMs - suppliedPerMs : 0;
		if (missingPerMs < minMissingShare * steadyPerMs || missingPerMs * loanMs < minStreamTokens) {
			missingPerMs = 0;
		}

		const lenders = new Set(streams.map(stream => stream.peer));
		const wants: Want[] = [];
		for (const peer of this.#rotate(peers.filter(other => (this.#deniedUntilMs.get(other.id) ?? 0) <= nowMs))) {
			if (missing <= 0 || (this.#backoffMs > 0 && wants.length > 0)) {
				break;
			}

			// Part of a token is only asked for to complete one.
			const tokens = wants.length > 0 && missing < 1 ? 1 : Math.min(missing, Math.max(1, depth * peer.share));
			const ratePerMs = lenders.has(peer.id) ? 0 : Math.min(Math.max(0, missingPerMs), limitPerMs * peer.share);
			missing -= tokens;
			missingPerMs -= ratePerMs;
			wants.push({
				peer: peer.id, tokens, ratePerMs, renews: undefined,
			});
		}

		return wants;
	}

	/** Whether the demand would exceed the supply without a borrowed rate. */
	#isNeeded(ratePerMs: number, {nowMs, ownRatePerMs, streams, limitPerMs}: Supply): boolean {
		return Math.min(rateOf(this.#steady, steadyTimeMs, nowMs - this.#sinceMs), limitPerMs) > ownRatePerMs + sumOfRates(streams) - (ratePerMs / 2);
	}

	/** Returns the near peers before the far ones, each in turn, so that no one of them is always asked first. */
	#rotate(peers: readonly QuotaPeer[]): readonly QuotaPeer[] {
		this.#rotation++;
		return [peers.filter(peer => peer.isNear), peers.filter(peer => !peer.isNear)].flatMap(group => {
			const offset = group.length === 0 ? 0 : this.#rotation % group.length;
			return [...group.slice(offset), ...group.slice(0, offset)];
		});
	}

	#decay(nowMs: number): void {
		this.#recent *= Math.exp(-(nowMs - this.#updatedMs) / demandTimeMs);
		this.#steady *= Math.exp(-(nowMs - this.#updatedMs) / steadyTimeMs);
		this.#updatedMs = nowMs;
	}
}

/** Returns the rate that random arrivals of a mean rate use most of the time; what is minted beyond it would expire. */
function lowerBound(ratePerMs: number, loanMs: number): number {
	return ratePerMs * Math.max(0, 1 - (1 / Math.sqrt(2 * ratePerMs * loanMs)));
}

/** Returns the rate that a decayed count stands for after demand of some duration. */
function rateOf(count: number, timeMs: number, durationMs: number): number {
	return count / (timeMs * (1 - Math.exp(-Math.max(durationMs, minDurationMs) / timeMs)));
}

function sumOfRates(streams: Supply['streams']): number {
	let sum = 0;
	for (const stream of streams) {
		sum += stream.ratePerMs;
	}

	return sum;
}

import {type Grant} from '../contracts/grant.js';

type Credit = {requests: number; bytes: number; readonly expiresMs: number};

/** Minimum time between two requests for credits to one region. */
const requestIntervalMs = 200;
/** Time after the last use or attempted use of a credit during which more credits are requested. */
const demandRetentionMs = 1000;
/** Number of credits requested in addition to the recent demand. */
const spareCredits = 2;

/**
 * Credits that a service's owner holds from other regions. Their validity is counted from the moment at which they were
 * requested, which is before the other region granted them, and is checked immediately before use. So a host that was
 * paused does not use expired credits when it resumes.
 */
export class CreditBalance {
	readonly #credits = new Map<string, Credit[]>();
	readonly #requestedMs = new Map<string, number>();
	#demand = 0;
	#lastDemandMs = Number.NEGATIVE_INFINITY;

	/** Uses a credit for one request of `bytes` bytes; returns the region to send it to, or `undefined` without a credit. Counts as demand either way. */
	take(bytes: number, nowMs: number): string | undefined {
		this.#demand++;
		this.#lastDemandMs = nowMs;
		for (const [region, credits] of this.#credits) {
			const live = credits.filter(credit => credit.expiresMs > nowMs && credit.requests > 0);
			this.#credits.set(region, live);
			const credit = live.find(item => item.bytes >= bytes);
			if (credit !== undefined) {
				credit.requests--;
				credit.bytes -= bytes;
				// Moves the region to the end, so that regions are used round-robin.
				this.#credits.delete(region);
				this.#credits.set(region, live);
				return region;
			}
		}

		return undefined;
	}

	/** Returns whether any valid credit is left. */
	hasCredit(nowMs: number): boolean {
		return [...this.#credits.values()].some(credits => credits.some(credit => credit.expiresMs > nowMs && credit.requests > 0));
	}

	/** Adds the credits of a grant that was requested at `requestedMs`, in monotonic milliseconds. */
	add(region: string, grant: Grant, requestedMs: number): void {
		const credits = this.#credits.get(region) ?? [];
		credits.push({requests: grant.requests, bytes: grant.bytes, expiresMs: requestedMs + grant.validMs});
		this.#credits.set(region, credits);
	}

	/** Discards the credits of a region, for example after it could not be reached. */
	discard(region: string): void {
		this.#credits.delete(region);
	}

	/** Returns whether there was demand for credits recently. */
	hasDemand(nowMs: number): boolean {
		return nowMs - this.#lastDemandMs <= demandRetentionMs;
	}

	/** Returns the regions from which to request credits now, and for how many requests; records that they are requested. */
	dueCreditRequests(regions: readonly string[], nowMs: number): ReadonlyArray<{readonly region: string; readonly want: number}> {
		if (!this.hasDemand(nowMs)) {
			this.#demand = 0;
			return [];
		}

		const due = regions.filter(region => nowMs - (this.#requestedMs.get(region) ?? Number.NEGATIVE_INFINITY) >= requestIntervalMs);
		for (const region of due) {
			this.#requestedMs.set(region, nowMs);
		}

		const want = this.#demand + spareCredits;
		if (due.length > 0) {
			this.#demand = Math.ceil(this.#demand / 2);
		}

		return due.map(region => ({region, want}));
	}
}

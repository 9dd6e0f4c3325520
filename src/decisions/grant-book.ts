import {type Grant} from '../contracts/grant.js';

type Credit = {requests: number; bytes: number; readonly expiresMs: number};

/** Time between two asks of one region, in milliseconds. */
const askIntervalMs = 200;
/** Time for which a wish for credits lasts, in milliseconds. */
const wishMs = 1000;
/** Credits asked for beyond the wishes of the last interval. */
const spare = 2;

/**
 * Credits that a service's owner holds from other regions. They lapse by the time at which they were asked for, which
 * is before the other side granted them, and the time is looked at just before use: a host that was paused finds
 * its credits spent.
 */
export class GrantBook {
	readonly #credits = new Map<string, Credit[]>();
	readonly #askedMs = new Map<string, number>();
	#wishes = 0;
	#wishedMs = Number.NEGATIVE_INFINITY;

	/** Takes leave to send one request of some bytes; answers the region, or nothing and remembers the wish. */
	take(bytes: number, nowMs: number): string | undefined {
		this.#wishes++;
		this.#wishedMs = nowMs;
		for (const [region, credits] of this.#credits) {
			const live = credits.filter(credit => credit.expiresMs > nowMs && credit.requests > 0);
			this.#credits.set(region, live);
			const credit = live.find(item => item.bytes >= bytes);
			if (credit !== undefined) {
				credit.requests--;
				credit.bytes -= bytes;
				// Regions take turns.
				this.#credits.delete(region);
				this.#credits.set(region, live);
				return region;
			}
		}

		return undefined;
	}

	/** Whether some credit is at hand. */
	hasCredit(nowMs: number): boolean {
		return [...this.#credits.values()].some(credits => credits.some(credit => credit.expiresMs > nowMs && credit.requests > 0));
	}

	/** Takes in a grant that was asked for at `askedMs`. */
	add(region: string, grant: Grant, askedMs: number): void {
		const credits = this.#credits.get(region) ?? [];
		credits.push({requests: grant.requests, bytes: grant.bytes, expiresMs: askedMs + grant.validMs});
		this.#credits.set(region, credits);
	}

	/** Drops the credits of a region, as after it could not be reached. */
	drop(region: string): void {
		this.#credits.delete(region);
	}

	/** Whether credits were wanted lately. */
	isWishing(nowMs: number): boolean {
		return nowMs - this.#wishedMs <= wishMs;
	}

	/** Regions to ask now, and for how many requests. */
	asks(regions: readonly string[], nowMs: number): ReadonlyArray<{readonly region: string; readonly want: number}> {
		if (!this.isWishing(nowMs)) {
			this.#wishes = 0;
			return [];
		}

		const due = regions.filter(region => nowMs - (this.#askedMs.get(region) ?? Number.NEGATIVE_INFINITY) >= askIntervalMs);
		for (const region of due) {
			this.#askedMs.set(region, nowMs);
		}

		const want = this.#wishes + spare;
		if (due.length > 0) {
			this.#wishes = Math.ceil(this.#wishes / 2);
		}

		return due.map(region => ({region, want}));
	}
}

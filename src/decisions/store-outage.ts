/**
 * Whether keys that are missing may have lapsed only because the store was away. Counted from the last failure, which is
 * no later than the store's return, so that what is removed after the return is never kept for longer.
 */
export class StoreOutage {
	readonly #returnMs: number;
	#isAway = false;
	#lastFailureMs = Number.NEGATIVE_INFINITY;

	/** `returnMs` is the time after the store's return in which lapsed entries may still come back, in milliseconds. */
	constructor(returnMs: number) {
		this.#returnMs = returnMs;
	}

	/** Whether the latest call of this host failed. */
	get isAway(): boolean {
		return this.#isAway;
	}

	/** Takes in that a call failed; answers whether this is news. */
	failed(nowMs: number): boolean {
		const isNews = !this.#isAway;
		this.#isAway = true;
		this.#lastFailureMs = nowMs;
		return isNews;
	}

	/** Takes in that a call was answered; answers whether the store had been away. */
	answered(): boolean {
		const wasAway = this.#isAway;
		this.#isAway = false;
		return wasAway;
	}

	/** Moment at which an entry that is found missing now counts as gone, in monotonic milliseconds. */
	goneMs(nowMs: number): number {
		return Math.max(nowMs, this.#lastFailureMs + this.#returnMs);
	}
}

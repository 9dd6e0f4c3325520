type StoreOutageOptions = {
	/** Time after the store's return in which entries that lapsed meanwhile may still come back, in milliseconds. */
	readonly returnMs: number;
	/** Longest time for which a peer's word of an outage holds, in milliseconds. */
	readonly wordMs: number;
};

/** Whether keys that are missing may have lapsed only because the store was away. */
export class StoreOutage {
	readonly #options: StoreOutageOptions;
	#isAway = false;
	#holdUntilMs = Number.NEGATIVE_INFINITY;

	constructor(options: StoreOutageOptions) {
		this.#options = options;
	}

	/** Whether the latest call of this host failed. */
	get isAway(): boolean {
		return this.#isAway;
	}

	/** Takes in that a call failed; answers whether this is news. */
	failed(): boolean {
		const isNews = !this.#isAway;
		this.#isAway = true;
		return isNews;
	}

	/** Takes in that a call was answered; answers whether the store had been away. */
	answered(nowMs: number): boolean {
		const wasAway = this.#isAway;
		this.#isAway = false;
		if (wasAway) {
			this.#holdUntilMs = nowMs + this.#options.returnMs;
		}

		return wasAway;
	}

	/** Takes in a peer's word: missing entries are to be kept for some milliseconds more. */
	heard(holdMs: number, nowMs: number): void {
		this.#holdUntilMs = Math.max(this.#holdUntilMs, nowMs + Math.min(holdMs, this.#options.wordMs));
	}

	/** Time for which missing entries are to be kept, in milliseconds; 0 for none. */
	holdMs(nowMs: number): number {
		return this.#isAway ? this.#options.wordMs : Math.max(0, this.#holdUntilMs - nowMs);
	}
}

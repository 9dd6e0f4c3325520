type RetryBudgetOptions = {
	/** Retries earned by each first try. */
	readonly ratio: number;
	/** Retries that may be saved up. */
	readonly burst: number;
};

/** Bounds retries to a share of the first tries, so that they cannot multiply a failure. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	#tokens: number;

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
		this.#tokens = options.burst;
	}

	/** Counts a first try. */
	earn(): void {
		this.#tokens = Math.min(this.#options.burst, this.#tokens + this.#options.ratio);
	}

	/** Takes leave for one retry; answers whether there is any. */
	spend(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}

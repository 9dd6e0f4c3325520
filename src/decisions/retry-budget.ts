type RetryBudgetOptions = {
	/** Retries allowed for each first attempt. */
	readonly ratio: number;
	/** Maximum number of retries that accumulate while unused. */
	readonly burst: number;
};

/** Limits retries to a share of the first attempts (a token bucket), so that retries do not amplify an overload. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	#tokens: number;

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
		this.#tokens = options.burst;
	}

	/** Records a first attempt. */
	recordFirstAttempt(): void {
		this.#tokens = Math.min(this.#options.burst, this.#tokens + this.#options.ratio);
	}

	/** Uses one retry of the budget; returns whether one was left. */
	take(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}

type RateLoan = {readonly id: number; readonly ratePerMs: number; endMs: number};

type BucketShare = {
	/** Tokens per millisecond. */
	readonly ratePerMs: number;
	/** Number of tokens that the bucket holds. */
	readonly depth: number;
	/** Time at which the share ends unless it is set again, in monotonic milliseconds. */
	readonly validUntilMs: number;
};

/**
 * Bucket of one account at one host, which mints tokens at the rate of the host's slots. It starts empty. A rate that is lent
 * is not minted here until the loan ends. Designed for some hundred loans at a time.
 */
export class QuotaBucket {
	#share: BucketShare = {ratePerMs: 0, depth: 0, validUntilMs: 0};
	#level = 0;
	#updatedMs = 0;
	#rateLoans: RateLoan[] = [];
	#lastLoanId = 0;

	/** Replaces the share. A lower one takes tokens away at once; a higher one adds none. */
	setShare(share: BucketShare, nowMs: number): void {
		this.#advance(nowMs);
		this.#share = share;
		this.#level = Math.min(this.#level, share.depth);
	}

	/** Returns the number of tokens in the bucket. */
	level(nowMs: number): number {
		this.#advance(nowMs);
		return this.#level;
	}

	/** Returns the rate that is not lent, in tokens per millisecond. */
	freeRatePerMs(nowMs: number): number {
		this.#advance(nowMs);
		return Math.max(0, this.#share.ratePerMs - sumOfRates(this.#rateLoans));
	}

	/** Whether the host has a share at all. */
	hasShare(nowMs: number): boolean {
		this.#advance(nowMs);
		return this.#share.ratePerMs > 0;
	}

	/** Takes up to `count` tokens out of the bucket; returns how many. */
	take(count: number, nowMs: number): number {
		this.#advance(nowMs);
		const taken = Math.max(0, Math.min(count, this.#level));
		this.#level -= taken;
		return taken;
	}

	/** Lends a part of the rate for up to `durationMs`; returns the loan. */
	lendRate(ratePerMs: number, durationMs: number, nowMs: number): {readonly id: number; readonly ratePerMs: number; readonly durationMs: number} {
		const lent = Math.max(0, Math.min(ratePerMs, this.freeRatePerMs(nowMs)));
		const duration = this.#loanDurationMs(durationMs, nowMs);
		this.#lastLoanId++;
		if (lent > 0 && duration > 0) {
			this.#rateLoans.push({id: this.#lastLoanId, ratePerMs: lent, endMs: nowMs + duration});
		}

		return {id: this.#lastLoanId, ratePerMs: duration > 0 ? lent : 0, durationMs: duration};
	}

	/** Extends a loan that has not ended to last for up to `durationMs` from now; returns for how long it lasts, 0 if it is not known. */
	renewRate(id: number, durationMs: number, nowMs: number): number {
		this.#advance(nowMs);
		const loan = this.#rateLoans.find(other => other.id === id);
		if (loan === undefined) {
			return 0;
		}

		const duration = this.#loanDurationMs(durationMs, nowMs);
		loan.endMs = Math.max(loan.endMs, nowMs + duration);
		return duration;
	}

	/** Returns the time until the bucket holds `count` tokens if nobody takes any, in milliseconds. */
	waitMs(count: number, nowMs: number): number {
		const missing = Math.min(count, this.#share.depth) - this.level(nowMs);
		if (missing <= 0) {
			return 0;
		}

		const rate = this.freeRatePerMs(nowMs);
		const nextEndMs = Math.min(...this.#rateLoans.map(loan => loan.endMs)) - nowMs;
		return Math.min(rate > 0 ? missing / rate : Number.POSITIVE_INFINITY, nextEndMs);
	}

	/** The share may go to another host when it ends, so that no loan may outlast it. */
	#loanDurationMs(durationMs: number, nowMs: number): number {
		return Math.max(0, Math.min(durationMs, this.#share.validUntilMs - nowMs));
	}

	#advance(nowMs: number): void {
		const endMs = Math.min(nowMs, this.#share.validUntilMs);
		while (this.#updatedMs < endMs) {
			const untilMs = Math.min(endMs, ...this.#rateLoans.map(loan => loan.endMs));
			const rate = Math.max(0, this.#share.ratePerMs - sumOfRates(this.#rateLoans));
			this.#level = Math.min(this.#share.depth, this.#level + (rate * Math.max(0, untilMs - this.#updatedMs)));
			this.#updatedMs = Math.max(this.#updatedMs, untilMs);
			this.#rateLoans = this.#rateLoans.filter(loan => loan.endMs > untilMs);
		}

		this.#updatedMs = Math.max(this.#updatedMs, nowMs);
		this.#rateLoans = this.#rateLoans.filter(loan => loan.endMs > nowMs);
		if (nowMs >= this.#share.validUntilMs) {
			this.#share = {ratePerMs: 0, depth: 0, validUntilMs: 0};
			this.#level = 0;
		}
	}
}

function sumOfRates(loans: readonly RateLoan[]): number {
	let sum = 0;
	for (const loan of loans) {
		sum += loan.ratePerMs;
	}

	return sum;
}

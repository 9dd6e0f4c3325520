type RateLoan = {readonly id: number; readonly ratePerMs: number; endMs: number};

/** Tokens that left the bucket and are not void yet; they may be used, or come back. */
type Outside = {id: number; tokens: number; readonly expiresMs: number};

type BucketShare = {
	/** Tokens per millisecond. */
	readonly ratePerMs: number;
	/** Number of tokens that the bucket holds. */
	readonly depth: number;
	/** Time at which the share ends unless it is set again, in monotonic milliseconds. */
	readonly validUntilMs: number;
	/** Time after which a token that left the bucket is void, in milliseconds, and for which it is kept in mind. */
	readonly loanMs: number;
	readonly outsideMs: number;
};

const noShare: BucketShare = {
	ratePerMs: 0, depth: 0, validUntilMs: 0, loanMs: 0, outsideMs: 0,
};

/**
 * Bucket of one account at one host, which mints tokens at the rate of the host's slots. It starts empty. A rate that is lent
 * is not minted here until the loan ends. Designed for some hundred loans at a time.
 */
export class QuotaBucket {
	#share: BucketShare = noShare;
	#level = 0;
	#updatedMs = 0;
	#rateLoans: RateLoan[] = [];
	#outside: Outside[] = [];
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

	/** Takes up to `count` tokens out of the bucket, for a request of this host; returns how many. */
	take(count: number, nowMs: number): number {
		const taken = this.#takeOut(count, nowMs);
		const {loanMs, outsideMs} = this.#share;
		const last = this.#outside.at(-1);
		if (last?.id === 0 && last.expiresMs >= nowMs + loanMs) {
			last.tokens += taken;
		} else if (taken > 0) {
			this.#outside.push({id: 0, tokens: taken, expiresMs: nowMs + outsideMs});
		}

		return taken;
	}

	/** Lends up to `count` tokens; returns how many, and the id under which they may come back. */
	lendTokens(count: number, nowMs: number): {readonly id: number; readonly tokens: number} {
		const tokens = this.#takeOut(count, nowMs);
		this.#lastLoanId++;
		if (tokens > 0) {
			this.#outside.push({id: this.#lastLoanId, tokens, expiresMs: nowMs + this.#share.loanMs});
		}

		return {id: this.#lastLoanId, tokens};
	}

	/** Takes lent tokens back that the borrower did not use. */
	takeBack(id: number, tokens: number, nowMs: number): void {
		this.#advance(nowMs);
		const loan = this.#outside.find(other => other.id === id && id !== 0);
		if (loan !== undefined) {
			const returned = Math.min(tokens, loan.tokens);
			loan.tokens -= returned;
			// A repeated call must not bring back what the borrower used.
			loan.id = 0;
			this.#level = Math.min(this.#share.depth, this.#level + returned);
		}
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

	#takeOut(count: number, nowMs: number): number {
		this.#advance(nowMs);
		const taken = Math.max(0, Math.min(count, this.#level));
		this.#level -= taken;
		return taken;
	}

	/** Number of tokens up to which the bucket mints. Without the bound, tokens that come back and are lent again would add to those that it minted in place of them. */
	#mintLimit(): number {
		const {depth, ratePerMs, outsideMs} = this.#share;
		return Math.min(depth, depth + (ratePerMs * outsideMs) - this.#outside.reduce((sum, loan) => sum + loan.tokens, 0));
	}

	/** The share may go to another host when it ends, so that no loan may outlast it. */
	#loanDurationMs(durationMs: number, nowMs: number): number {
		return Math.max(0, Math.min(durationMs, this.#share.validUntilMs - nowMs));
	}

	#advance(nowMs: number): void {
		const endMs = Math.min(nowMs, this.#share.validUntilMs);
		while (this.#updatedMs < endMs) {
			const untilMs = Math.min(endMs, ...this.#rateLoans.map(loan => loan.endMs), ...this.#outside.map(loan => loan.expiresMs));
			const limit = this.#mintLimit();
			const rate = Math.max(0, this.#share.ratePerMs - sumOfRates(this.#rateLoans));
			this.#level = Math.max(this.#level, Math.min(limit, this.#level + (rate * Math.max(0, untilMs - this.#updatedMs))));
			this.#updatedMs = Math.max(this.#updatedMs, untilMs);
			this.#rateLoans = this.#rateLoans.filter(loan => loan.endMs > untilMs);
			this.#outside = this.#outside.filter(loan => loan.expiresMs > untilMs);
		}

		this.#updatedMs = Math.max(this.#updatedMs, nowMs);
		this.#rateLoans = this.#rateLoans.filter(loan => loan.endMs > nowMs);
		this.#outside = this.#outside.filter(loan => loan.expiresMs > nowMs);
		if (nowMs >= this.#share.validUntilMs) {
			this.#share = noShare;
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

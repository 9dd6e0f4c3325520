/** Share of the region's requests that may change their region in a second; with what may change at once, below the usual 0.15 in two. */
const shiftPerSecond = 0.045;
/** Share of the region's requests that may change their region at once. */
const shiftAtOnce = 0.04;
/** Longest time that counts as passed between two moments, in milliseconds: a host that was paused has not saved up moves. */
const longestStepMs = 1000;

/** Bounds how many of a region's requests change the region in which they run. */
export class ShiftBudget {
	#left = 0;
	#lastMs: number | undefined;

	/** Whether any request may change its region now. */
	get isLeft(): boolean {
		return this.#left > 0;
	}

	/** Advances time; `rate` is the region's requests a second. */
	advance(rate: number, nowMs: number): void {
		const elapsedMs = Math.min(longestStepMs, nowMs - (this.#lastMs ?? nowMs));
		this.#lastMs = nowMs;
		this.#left = Math.min(shiftAtOnce * rate, this.#left + (shiftPerSecond * rate * elapsedMs / 1000));
	}

	/** Takes leave for an object with so many requests a second; a large one uses what the next moments bring. */
	spend(rate: number): void {
		this.#left -= rate;
	}
}

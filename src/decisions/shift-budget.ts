/** Share of a region's requests that may be shifted per second. Together with the burst, it stays below the usual limit of 0.15 in two seconds. */
const shiftSharePerSecond = 0.045;
/** Share of a region's requests that may be shifted in one burst. */
const shiftBurstShare = 0.04;
/** Maximum time that counts as elapsed between two calls, so that the budget does not accumulate while a host is paused. */
const maxElapsedMs = 1000;

/** Limits the rate of requests that are shifted from one region to another. */
export class ShiftBudget {
	#remaining = 0;
	#lastMs: number | undefined;

	/** Whether the budget allows a shift now. */
	get hasRemaining(): boolean {
		return this.#remaining > 0;
	}

	/** Advances time and refills the budget; `requestsPerSecond` is the region's request rate. */
	advance(requestsPerSecond: number, nowMs: number): void {
		const elapsedMs = Math.min(maxElapsedMs, nowMs - (this.#lastMs ?? nowMs));
		this.#lastMs = nowMs;
		this.#remaining = Math.min(shiftBurstShare * requestsPerSecond, this.#remaining + (shiftSharePerSecond * requestsPerSecond * elapsedMs / 1000));
	}

	/** Spends budget on the shift of an object with this request rate. A large object may overdraw the budget, which delays later shifts. */
	spend(requestsPerSecond: number): void {
		this.#remaining -= requestsPerSecond;
	}
}

/** Measures the rate of events over a sliding window that consists of two halves. */
export class RateMeter {
	readonly #halfMs: number;
	#startMs = Number.NEGATIVE_INFINITY;
	#current = 0;
	#previous = 0;

	/** `windowMs` is the length of the window in milliseconds. */
	constructor(windowMs: number) {
		this.#halfMs = windowMs / 2;
	}

	/** Records events. */
	record(nowMs: number, amount = 1): void {
		this.#roll(nowMs);
		this.#current += amount;
	}

	/** Returns the rate in events per second. */
	perSecond(nowMs: number): number {
		this.#roll(nowMs);
		const elapsedMs = nowMs - this.#startMs;
		return ((this.#previous + this.#current) * 1000) / (this.#halfMs + elapsedMs);
	}

	#roll(nowMs: number): void {
		const elapsedMs = nowMs - this.#startMs;
		if (elapsedMs < this.#halfMs) {
			return;
		}

		this.#previous = elapsedMs < 2 * this.#halfMs ? this.#current : 0;
		this.#current = 0;
		this.#startMs = nowMs;
	}
}

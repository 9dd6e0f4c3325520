/** Counts events in a sliding window, in buckets of a tenth of it. */
export class SlidingCount {
	readonly #bucketMs: number;
	readonly #buckets = new Map<number, number>();

	/** `windowMs` is the window's length in milliseconds. */
	constructor(windowMs: number) {
		this.#bucketMs = windowMs / bucketsPerWindow;
	}

	add(nowMs: number): void {
		const index = Math.floor(nowMs / this.#bucketMs);
		this.#buckets.set(index, (this.#buckets.get(index) ?? 0) + 1);
		this.#drop(index);
	}

	/** Events in the window that ends now; the oldest bucket counts whole. */
	total(nowMs: number): number {
		this.#drop(Math.floor(nowMs / this.#bucketMs));
		let sum = 0;
		for (const count of this.#buckets.values()) {
			sum += count;
		}

		return sum;
	}

	#drop(current: number): void {
		for (const index of this.#buckets.keys()) {
			if (index < current - bucketsPerWindow) {
				this.#buckets.delete(index);
			}
		}
	}
}

const bucketsPerWindow = 10;

/** Counts events in a sliding window that is divided into ten buckets. */
export class SlidingCount {
	readonly #bucketMs: number;
	readonly #buckets = new Map<number, number>();

	/** `windowMs` is the length of the window in milliseconds. */
	constructor(windowMs: number) {
		this.#bucketMs = windowMs / bucketsPerWindow;
	}

	add(nowMs: number): void {
		const index = Math.floor(nowMs / this.#bucketMs);
		this.#buckets.set(index, (this.#buckets.get(index) ?? 0) + 1);
		this.#evictBuckets(index);
	}

	/** Returns the number of events in the window that ends now. The oldest bucket is counted in full. */
	total(nowMs: number): number {
		this.#evictBuckets(Math.floor(nowMs / this.#bucketMs));
		let sum = 0;
		for (const count of this.#buckets.values()) {
			sum += count;
		}

		return sum;
	}

	#evictBuckets(current: number): void {
		for (const index of this.#buckets.keys()) {
			if (index < current - bucketsPerWindow) {
				this.#buckets.delete(index);
			}
		}
	}
}

const bucketsPerWindow = 10;

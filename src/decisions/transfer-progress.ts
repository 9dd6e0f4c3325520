type TransferProgressOptions = {
	/** Length of a window, in milliseconds. */
	readonly windowMs: number;
	/** Rate at which a transfer must proceed in each window, in bytes per millisecond. */
	readonly leastBytesPerMs: number;
};

/**
 * Detects a stalled transfer of any length: the least number of bytes must arrive within each window, and the next window begins as soon as
 * they have. The time for the whole transfer is thereby bounded by its size.
 */
export class TransferProgress {
	readonly #leastBytes: number;
	#windowBytes = 0;

	constructor({windowMs, leastBytesPerMs}: TransferProgressOptions) {
		this.#leastBytes = Math.max(1, windowMs * leastBytesPerMs);
	}

	/** Records received bytes; returns whether a new window begins now. */
	record(bytes: number): boolean {
		this.#windowBytes += bytes;
		if (this.#windowBytes < this.#leastBytes) {
			return false;
		}

		this.#windowBytes = 0;
		return true;
	}
}

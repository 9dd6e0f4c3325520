/**
 * Holds back removals of keys that a restored store lacks, until the time from which they count. A key that is written again
 * in the meantime was never gone. Designed for the listed hosts and zones: some hundred keys at most.
 */
export class HeldRemovals {
	readonly #untilMs = new Map<string, number>();

	hold(key: string, untilMs: number): void {
		this.#untilMs.set(key, untilMs);
	}

	/** Records that the key was written again, or removed for certain. */
	cancel(key: string): void {
		this.#untilMs.delete(key);
	}

	/** Holds all removals at least until `untilMs`. */
	extend(untilMs: number): void {
		for (const [key, current] of this.#untilMs) {
			this.#untilMs.set(key, Math.max(current, untilMs));
		}
	}

	/** Returns the keys whose removal counts now, and forgets them. */
	takeDue(nowMs: number): string[] {
		const due = [...this.#untilMs].filter(([, untilMs]) => nowMs >= untilMs).map(([key]) => key);
		for (const key of due) {
			this.#untilMs.delete(key);
		}

		return due;
	}
}

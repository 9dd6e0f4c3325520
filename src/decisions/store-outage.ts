/**
 * Determines how long keys that are missing from the store are kept, because their leases may have expired only while the
 * store was unavailable. The time is counted from the last failed call, which is no later than the recovery of the store, so
 * that a key removed after the recovery is never kept for longer than that time.
 */
export class StoreOutage {
	readonly #reappearanceMs: number;
	#isUnavailable = false;
	#lastFailureMs = Number.NEGATIVE_INFINITY;

	/** `reappearanceMs` is the time after the store's recovery in which expired entries may be written again, in milliseconds. */
	constructor(reappearanceMs: number) {
		this.#reappearanceMs = reappearanceMs;
	}

	/** Whether the latest call of this host to the store failed. */
	get isUnavailable(): boolean {
		return this.#isUnavailable;
	}

	/** Records a failed call; returns whether it is the first failure since the last successful call. */
	recordFailure(nowMs: number): boolean {
		const isFirstFailure = !this.#isUnavailable;
		this.#isUnavailable = true;
		this.#lastFailureMs = nowMs;
		return isFirstFailure;
	}

	/** Records a successful call; returns whether the previous call had failed. */
	recordSuccess(): boolean {
		const wasUnavailable = this.#isUnavailable;
		this.#isUnavailable = false;
		return wasUnavailable;
	}

	/** Returns the time from which an entry found missing now counts as removed, in monotonic milliseconds. */
	retainUntilMs(nowMs: number): number {
		return Math.max(nowMs, this.#lastFailureMs + this.#reappearanceMs);
	}
}

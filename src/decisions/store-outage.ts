/**
 * Determines how long keys that are missing from the store are kept, because their leases may have expired only while the
 * store was unavailable, or because a store restored from an earlier copy lacks them until they are written again. The time is counted from the last failed call, which is no later than the recovery of the store, so
 * that a key removed after the recovery is never kept for longer than that time, and from the first contact to a new era.
 */
export class StoreOutage {
	readonly #reappearanceMs: number;
	#isUnavailable = false;
	#lastFailureMs = Number.NEGATIVE_INFINITY;
	#eraSinceMs = Number.NEGATIVE_INFINITY;

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

	/** Records the first contact to a new era of the store. */
	recordNewEra(nowMs: number): void {
		this.#eraSinceMs = nowMs;
	}

	/** Returns the time from which an entry that a new era lacks counts as removed, whoever found it missing, in monotonic milliseconds. */
	eraRetainUntilMs(nowMs: number): number {
		return Math.max(nowMs, this.#eraSinceMs + this.#reappearanceMs);
	}

	/** Returns the time from which an entry found missing now counts as removed, in monotonic milliseconds. */
	retainUntilMs(nowMs: number): number {
		return Math.max(this.eraRetainUntilMs(nowMs), this.#lastFailureMs + this.#reappearanceMs);
	}
}

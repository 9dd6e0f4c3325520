type CachedRefusal = {readonly untilMs: number; readonly waitMs: number};

/** Maximum time for which a refusal is kept; the next request after it is sent to the owner again. */
const maxRetentionMs = 150;
/** Time for which a refusal is kept, as a share of the expected wait. */
const retentionWaitShare = 0.25;
/** Maximum number of keys. */
const maxKeys = 1000;

/**
 * Caches the recent refusals of owners at a host that forwards requests to them. While the expected wait of a class is
 * known to exceed a request's remaining time, the forwarding host refuses the request itself, so that a flood of
 * requests does not reach the owner.
 */
export class RefusalCache {
	readonly #waits = new Map<string, CachedRefusal>();

	/** Records that the owner refused a request of the service and class in `key`, with the wait that it expects in milliseconds. */
	record(key: string, waitMs: number, nowMs: number): void {
		if (this.#waits.size >= maxKeys) {
			this.#waits.clear();
		}

		this.#waits.set(key, {waitMs, untilMs: nowMs + Math.min(maxRetentionMs, waitMs * retentionWaitShare)});
	}

	/** Returns the cached expected wait in milliseconds if it exceeds a request's remaining time, else `undefined`. */
	excessiveWaitMs(key: string, remainingMs: number, nowMs: number): number | undefined {
		const cached = this.#waits.get(key);
		if (cached === undefined) {
			return undefined;
		}

		if (nowMs >= cached.untilMs) {
			this.#waits.delete(key);
			return undefined;
		}

		return cached.waitMs > remainingMs ? cached.waitMs : undefined;
	}
}

type Remembered = {readonly untilMs: number; readonly waitMs: number};

/** Longest time for which a refusal is remembered, in milliseconds; then one request asks the owner again. */
const longestMs = 150;
/** Part of the expected wait for which a refusal is remembered. */
const waitShare = 0.25;
/** Keys remembered. */
const maxKeys = 1000;

/**
 * What an owner lately said of its queues, at a host on the way to it. While a class's wait is known to be longer than
 * a request may take, the request is refused here, so that a flood does not reach the owner.
 */
export class RefusalMemory {
	readonly #waits = new Map<string, Remembered>();

	/** Takes in that the owner refused a request of this kind for an expected wait. */
	remember(key: string, waitMs: number, nowMs: number): void {
		if (this.#waits.size >= maxKeys) {
			this.#waits.clear();
		}

		this.#waits.set(key, {waitMs, untilMs: nowMs + Math.min(longestMs, waitMs * waitShare)});
	}

	/** Takes in that the owner accepted a request of this kind. */
	forget(key: string): void {
		this.#waits.delete(key);
	}

	/** Expected wait that is known to be too long for a request with this much time, in milliseconds. */
	tooLong(key: string, remainingMs: number, nowMs: number): number | undefined {
		const held = this.#waits.get(key);
		if (held === undefined) {
			return undefined;
		}

		if (nowMs >= held.untilMs) {
			this.#waits.delete(key);
			return undefined;
		}

		return held.waitMs > remainingMs ? held.waitMs : undefined;
	}
}

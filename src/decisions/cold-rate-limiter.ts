import {SlidingCount} from './sliding-count.js';

/** Number of hosts that may act as an instance's designated sender at the same time while their views of the membership differ. */
const maxConcurrentSenders = 3;
const windowMs = 1000;

/**
 * Limits the rate of requests that this host sends to cold instances. Only the designated sender of the region sends to
 * a cold instance. Its share of the limit is small enough that hosts with different views of the membership together
 * stay below the limit.
 */
export class ColdRateLimiter {
	readonly #counts = new Map<string, SlidingCount>();

	/** Returns whether one more request may be sent to a cold instance; `perSecond` is the limit for all hosts together. */
	hasRemaining(instanceId: string, perSecond: number, nowMs: number): boolean {
		return this.#countOf(instanceId).total(nowMs) + 1 <= Math.floor(perSecond / maxConcurrentSenders);
	}

	/** Counts one request if it is within the limit; returns whether it was. */
	take(instanceId: string, perSecond: number, nowMs: number): boolean {
		const hasRemaining = this.hasRemaining(instanceId, perSecond, nowMs);
		if (hasRemaining) {
			this.#countOf(instanceId).add(nowMs);
		}

		return hasRemaining;
	}

	#countOf(instanceId: string): SlidingCount {
		let count = this.#counts.get(instanceId);
		if (count === undefined) {
			count = new SlidingCount(windowMs);
			this.#counts.set(instanceId, count);
		}

		return count;
	}
}

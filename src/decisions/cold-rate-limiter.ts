import {SlidingCount} from './sliding-count.js';

const windowMs = 1000;

/** Limits the rate of requests that this host sends to cold instances to its part of the limit for all hosts. */
export class ColdRateLimiter {
	readonly #counts = new Map<string, SlidingCount>();

	/** Returns whether one more request may be sent to a cold instance; `perSecond` is the limit for all hosts together, `share` the part of this one. */
	hasRemaining(instanceId: string, perSecond: number, share: number, nowMs: number): boolean {
		return this.#countOf(instanceId).total(nowMs) + 1 <= Math.floor(perSecond * share);
	}

	/** Counts one request if it is within the limit; returns whether it was. */
	take(instanceId: string, perSecond: number, share: number, nowMs: number): boolean {
		const hasRemaining = this.hasRemaining(instanceId, perSecond, share, nowMs);
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

import {SlidingCount} from './sliding-count.js';

/** Hosts that may believe at the same moment that they act for one instance, while the view of the members changes. */
const sponsorsAtOnce = 3;
const windowMs = 1000;

/**
 * Bounds what this host sends to cold instances. Only one host of the region acts for an instance; its part of the
 * bound is small enough that hosts whose views differ stay below it together.
 */
export class ColdAllowance {
	readonly #counts = new Map<string, SlidingCount>();

	/** Takes leave for one request to a cold instance that all hosts together may send `perSecond` requests. */
	take(instanceId: string, perSecond: number, nowMs: number): boolean {
		let count = this.#counts.get(instanceId);
		if (count === undefined) {
			count = new SlidingCount(windowMs);
			this.#counts.set(instanceId, count);
		}

		if (count.total(nowMs) + 1 > Math.floor(perSecond / sponsorsAtOnce)) {
			return false;
		}

		count.add(nowMs);
		return true;
	}
}

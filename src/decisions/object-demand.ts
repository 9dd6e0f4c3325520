import {type RouteTimes} from './route-times.js';

/** Time constant of the request rates, in milliseconds. */
const memoryMs = 4000;
/** Time over which the first requests are spread, in milliseconds. */
const shortestSpanMs = 2000;
/** Count below which a route's requests are forgotten. */
const leastCount = 0.01;

/** How often one object is asked for, by route; old requests count for less and less. */
export class ObjectDemand {
	readonly #counts = new Map<string, number>();
	readonly #sinceMs: number;
	#updatedMs: number;

	constructor(nowMs: number) {
		this.#sinceMs = nowMs;
		this.#updatedMs = nowMs;
	}

	/** Moment up to which requests for the object are remembered, in monotonic milliseconds. */
	get lastAskedMs(): number {
		return this.#updatedMs;
	}

	/** Counts requests of a route. */
	count(route: string, requests: number, nowMs: number): void {
		this.#decay(nowMs);
		this.#counts.set(route, (this.#counts.get(route) ?? 0) + requests);
		this.#updatedMs = nowMs;
	}

	/** Requests a second. */
	rate(nowMs: number): number {
		this.#decay(nowMs);
		const spanMs = memoryMs * (1 - Math.exp(-Math.max(shortestSpanMs, nowMs - this.#sinceMs) / memoryMs));
		return this.#total() * 1000 / spanMs;
	}

	/** Slots that the requests keep busy. */
	slots(times: RouteTimes, nowMs: number): number {
		const rate = this.rate(nowMs);
		const total = this.#total();
		let weighedMs = 0;
		for (const [route, count] of this.#counts) {
			weighedMs += count * times.get(route);
		}

		return total === 0 ? 0 : rate * weighedMs / total / 1000;
	}

	#decay(nowMs: number): void {
		const factor = Math.exp(-(nowMs - this.#updatedMs) / memoryMs);
		for (const [route, count] of this.#counts) {
			if (count * factor < leastCount) {
				this.#counts.delete(route);
			} else {
				this.#counts.set(route, count * factor);
			}
		}

		this.#updatedMs = this.#counts.size === 0 ? this.#updatedMs : nowMs;
	}

	#total(): number {
		let sum = 0;
		for (const count of this.#counts.values()) {
			sum += count;
		}

		return sum;
	}
}

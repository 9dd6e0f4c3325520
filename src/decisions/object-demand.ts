import {type RouteTimes} from './route-times.js';

/** Time constant of the exponential decay of the counts. */
const decayTimeMs = 4000;
/** Shortest time over which requests are averaged, so that the first ones do not give too high a rate. */
const minSpanMs = 2000;
/** Decayed number of requests below which a route is removed. */
const minRequestCount = 0.01;

/** Request rate of one object by route, as exponentially decaying counts. */
export class ObjectDemand {
	readonly #counts = new Map<string, number>();
	readonly #createdMs: number;
	#updatedMs: number;

	constructor(nowMs: number) {
		this.#createdMs = nowMs;
		this.#updatedMs = nowMs;
	}

	/** Latest monotonic time at which requests were counted or the counts of earlier ones had not fully decayed. */
	get lastActiveMs(): number {
		return this.#updatedMs;
	}

	/** Records requests on a route. */
	recordRequests(route: string, requests: number, nowMs: number): void {
		this.#decay(nowMs);
		this.#counts.set(route, (this.#counts.get(route) ?? 0) + requests);
		this.#updatedMs = nowMs;
	}

	/** Returns the requests per second on all routes. */
	requestsPerSecond(nowMs: number): number {
		this.#decay(nowMs);
		const spanMs = decayTimeMs * (1 - Math.exp(-Math.max(minSpanMs, nowMs - this.#createdMs) / decayTimeMs));
		return this.#total() * 1000 / spanMs;
	}

	/** Returns the mean number of slots that the requests keep busy, by the time that a request on each route takes. */
	busySlots(times: RouteTimes, nowMs: number): number {
		const requestsPerSecond = this.requestsPerSecond(nowMs);
		const total = this.#total();
		let totalTimeMs = 0;
		for (const [route, count] of this.#counts) {
			totalTimeMs += count * times.get(route);
		}

		return total === 0 ? 0 : requestsPerSecond * totalTimeMs / total / 1000;
	}

	#decay(nowMs: number): void {
		const factor = Math.exp(-(nowMs - this.#updatedMs) / decayTimeMs);
		for (const [route, count] of this.#counts) {
			if (count * factor < minRequestCount) {
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

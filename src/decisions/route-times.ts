/** Estimate for a route without any recorded time. */
const initialTimeMs = 150;
/** Weights, from 0 to 1, of a time below or above the estimate. They favour short times, which are those of warm instances. */
const shorterTimeWeight = 0.2;
const longerTimeWeight = 0.05;

/** Estimates the time that a request on each route of a service takes at a warm instance, from times without the wait for a slot. */
export class RouteTimes {
	readonly #timesMs = new Map<string, number>();

	/** Estimates in milliseconds by route. */
	get entries(): Array<[string, number]> {
		return [...this.#timesMs];
	}

	/** Updates the estimate of a route with the time of a request. */
	record(route: string, timeMs: number): void {
		const previousMs = this.#timesMs.get(route) ?? timeMs;
		const weight = timeMs < previousMs ? shorterTimeWeight : longerTimeWeight;
		this.#timesMs.set(route, previousMs + (weight * (timeMs - previousMs)));
	}

	/** Returns whether a time of a route has been recorded. */
	has(route: string): boolean {
		return this.#timesMs.has(route);
	}

	/** Returns the estimate for a route in milliseconds. */
	get(route: string): number {
		return this.#timesMs.get(route) ?? initialTimeMs;
	}
}

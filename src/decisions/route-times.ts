/** First guess of a request's time at an instance, in milliseconds. */
const initialMs = 150;
/** Weights of a new time: the estimate leans to the short times, which are those of warm instances. */
const shorterWeight = 0.2;
const longerWeight = 0.05;

/** What a request of each route of a service takes at an instance that is warm, learned from answers that did not wait. */
export class RouteTimes {
	readonly #timesMs = new Map<string, number>();

	/** The estimates by route, in milliseconds. */
	get entries(): Array<[string, number]> {
		return [...this.#timesMs];
	}

	/** Takes in a time in milliseconds. */
	learn(route: string, timeMs: number): void {
		const beforeMs = this.#timesMs.get(route) ?? timeMs;
		const weight = timeMs < beforeMs ? shorterWeight : longerWeight;
		this.#timesMs.set(route, beforeMs + (weight * (timeMs - beforeMs)));
	}

	/** The estimate for a route, in milliseconds. */
	get(route: string): number {
		return this.#timesMs.get(route) ?? initialMs;
	}
}

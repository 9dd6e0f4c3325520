import {type Route} from '../contracts/route.js';

/**
 * Distributes a route's requests over its services by smooth weighted round-robin, as nginx does for its upstreams: after any
 * number of requests, each service differs from its share by no more requests than the route has services.
 */
export class TrafficSplit {
	/** Current weights by service, by route and targets. */
	readonly #currentWeights = new Map<string, Map<string, number>>();

	/** Returns the service of the next request on a route; undefined if there are no targets, or several without a positive weight. */
	next(route: Route): string | undefined {
		const [only] = route.targets;
		if (route.targets.length <= 1) {
			return only?.service;
		}

		const key = `${route.name}|${route.targets.map(target => `${target.service}=${target.weight}`).join(',')}`;
		const currentWeights = this.#currentWeightsOf(key, route);
		let total = 0;
		let best: string | undefined;
		for (const {service, weight} of route.targets) {
			const currentWeight = (currentWeights.get(service) ?? 0) + weight;
			currentWeights.set(service, currentWeight);
			total += weight;
			if (weight > 0 && (best === undefined || currentWeight > (currentWeights.get(best) ?? 0))) {
				best = service;
			}
		}

		if (best !== undefined) {
			currentWeights.set(best, (currentWeights.get(best) ?? 0) - total);
		}

		return best;
	}

	/** Removes the weights of routes that are no longer published. */
	retain(routes: readonly Route[]): void {
		const names = new Set(routes.map(route => route.name));
		for (const key of this.#currentWeights.keys()) {
			if (!names.has(key.slice(0, key.lastIndexOf('|')))) {
				this.#currentWeights.delete(key);
			}
		}
	}

	#currentWeightsOf(key: string, route: Route): Map<string, number> {
		let currentWeights = this.#currentWeights.get(key);
		if (currentWeights === undefined) {
			currentWeights = new Map(route.targets.map(target => [target.service, 0]));
			this.#currentWeights.set(key, currentWeights);
		}

		return currentWeights;
	}
}

import {type Route} from '../contracts/route.js';

/**
 * Distributes a route's requests over its services by smooth weighted turns: after any number of requests
 * each service is within one request of its share.
 */
export class TrafficSplit {
	readonly #turns = new Map<string, Map<string, number>>();

	/** The service of the next request on a route. */
	next(route: Route): string | undefined {
		const [only] = route.targets;
		if (route.targets.length <= 1) {
			return only?.service;
		}

		const key = `${route.name}|${route.targets.map(target => `${target.service}=${target.weight}`).join(',')}`;
		const turns = this.#turnsOf(key, route);
		let total = 0;
		let best: string | undefined;
		for (const {service, weight} of route.targets) {
			const turn = (turns.get(service) ?? 0) + weight;
			turns.set(service, turn);
			total += weight;
			if (weight > 0 && (best === undefined || turn > (turns.get(best) ?? 0))) {
				best = service;
			}
		}

		if (best !== undefined) {
			turns.set(best, (turns.get(best) ?? 0) - total);
		}

		return best;
	}

	/** Forgets the turns of routes that are no longer published. */
	retain(routes: readonly Route[]): void {
		const names = new Set(routes.map(route => route.name));
		for (const key of this.#turns.keys()) {
			if (!names.has(key.slice(0, key.lastIndexOf('|')))) {
				this.#turns.delete(key);
			}
		}
	}

	#turnsOf(key: string, route: Route): Map<string, number> {
		let turns = this.#turns.get(key);
		if (turns === undefined) {
			turns = new Map(route.targets.map(target => [target.service, 0]));
			this.#turns.set(key, turns);
		}

		return turns;
	}
}

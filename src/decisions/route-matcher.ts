import {type Route} from '../contracts/route.js';

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
export class RouteMatcher {
	readonly #byHost = new Map<string, Route[]>();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const own = this.#byHost.get(route.host) ?? [];
			own.push(route);
			this.#byHost.set(route.host, own);
		}

		for (const own of this.#byHost.values()) {
			own.sort((a, b) => b.prefix.length - a.prefix.length);
		}
	}

	/** The route of a host, with or without a port, and a path without its query. */
	match(host: string, path: string): Route | undefined {
		const name = host.replace(/:\d+$/, '').toLowerCase();
		return this.#byHost.get(name)?.find(route => path.startsWith(route.prefix));
	}
}

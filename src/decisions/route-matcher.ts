import {type Route} from '../contracts/route.js';

/** Finds the route of a request: the one with the longest matching path prefix among the routes of its host name. */
export class RouteMatcher {
	readonly #byHost = new Map<string, Route[]>();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const hostRoutes = this.#byHost.get(route.host) ?? [];
			hostRoutes.push(route);
			this.#byHost.set(route.host, hostRoutes);
		}

		for (const hostRoutes of this.#byHost.values()) {
			hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length);
		}
	}

	/** Returns the route for a host name, with or without a port, and a path without its query. */
	match(host: string, path: string): Route | undefined {
		const hostName = host.replace(/:\d+$/, '').toLowerCase();
		return this.#byHost.get(hostName)?.find(route => path.startsWith(route.prefix));
	}
}

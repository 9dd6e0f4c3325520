import {type RouteTable} from '../contracts/route-table.js';

/** Target times in milliseconds by priority, the most urgent first. */
type Targets = ReadonlyMap<number, number>;

/**
 * Returns, for each service that routes with affinity lead to, the priorities that requests on these routes can have, each with the
 * shortest target time of such a request. The priority is the account's if it has one, and the route's otherwise, so a route's own counts
 * only if requests without an account's priority can reach it. Designed for tens of distinct priorities; the number of accounts is free.
 */
export function targetsByPriority({routes, accounts}: Pick<RouteTable, 'routes' | 'accounts'>): ReadonlyMap<string, Targets> {
	const accountPriorities = [...new Set([...accounts.values()].map(({priority}) => priority))];
	const targets = new Map<string, Map<number, number>>();
	for (const route of routes.filter(item => item.hasAffinity)) {
		const isOwnPossible = accounts.size === 0 || route.isPublic;
		const priorities = [...accountPriorities.map(priority => priority ?? route.priority), ...(isOwnPossible ? [route.priority] : [])];
		for (const {service} of route.targets) {
			const own = targets.get(service) ?? new Map<number, number>();
			targets.set(service, own);
			for (const priority of priorities) {
				own.set(priority, Math.min(own.get(priority) ?? Number.POSITIVE_INFINITY, route.targetMs));
			}
		}
	}

	return new Map([...targets].map(([service, own]) => [service, new Map([...own].toSorted(([a], [b]) => a - b))]));
}

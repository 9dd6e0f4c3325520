import {type Clock} from '../contracts/clock.js';
import {type ListedHost} from '../contracts/listed-host.js';
import {type Route} from '../contracts/route.js';
import {type RouteTable} from '../contracts/route-table.js';
import {type SteeringItems} from '../contracts/steering-items.js';
import {type StoreChange} from '../contracts/store-change.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {RouteMatcher} from '../decisions/route-matcher.js';
import {TrafficSplit} from '../decisions/traffic-split.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {type ReplicaService} from './replica-service.js';

type SteeringOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly replica: ReplicaService;
	readonly items: SteeringItems;
	readonly instances: InstanceTable;
};

const expireMs = 200;

/** Turns the store's items into what is in force here: routes, instances, evacuated zones, listed hosts. */
export class SteeringService {
	readonly #options: SteeringOptions;
	readonly #split = new TrafficSplit();
	readonly #evacuated = new Set<string>();
	readonly #hosts = new Map<string, ListedHost>();
	#hostsByRegion: ReadonlyMap<string, number> = new Map();
	readonly #listeners: Array<(table: RouteTable) => void> = [];
	#table: RouteTable | undefined;
	#matcher = new RouteMatcher([]);
	#priorities: ReadonlyMap<string, readonly number[]> = new Map();
	#urgentTargets: ReadonlyMap<string, number> = new Map();

	constructor(options: SteeringOptions) {
		this.#options = options;
	}

	/** The routes in force; `undefined` until the first arrive. */
	get routes(): RouteTable | undefined {
		return this.#table;
	}

	/** Priorities of the routes with affinity to each service, most urgent first. */
	get priorities(): ReadonlyMap<string, readonly number[]> {
		return this.#priorities;
	}

	/** Shortest target of the most urgent routes with affinity to a service, in milliseconds; 0 if there is none. */
	urgentTargetMs(service: string): number {
		return this.#urgentTargets.get(service) ?? 0;
	}

	/** Hosts that the store lists, each with the id under which it stands. */
	get hosts(): ReadonlyMap<string, ListedHost> {
		return this.#hosts;
	}

	/** Listed hosts by region. */
	hostsByRegion(): ReadonlyMap<string, number> {
		return this.#hostsByRegion;
	}

	start(lifecycle: Lifecycle): void {
		const {replica, instances, clock, metrics} = this.#options;
		replica.onChange((changes, source) => {
			this.#take(changes, source);
		});
		lifecycle.every('expiry of instances', expireMs, () => {
			instances.expire(clock.nowMs());
		});
		metrics.gauge('routes_version', () => this.#table?.version ?? 0);
		metrics.gauge('instances_known', () => instances.size);
	}

	/** Calls back with each set of routes that comes into force. */
	onRoutes(listener: (table: RouteTable) => void): void {
		this.#listeners.push(listener);
		if (this.#table !== undefined) {
			listener(this.#table);
		}
	}

	match(host: string, path: string): Route | undefined {
		return this.#matcher.match(host, path);
	}

	/** The service that takes the next request on a route. */
	serviceOf(route: Route): string | undefined {
		return this.#split.next(route);
	}

	#take(changes: readonly StoreChange[], source: string): void {
		for (const change of changes) {
			const subject = this.#options.items.keyOf(change.kind === 'written' ? change.item.key : change.key);
			switch (subject.kind) {
				case 'routes': {
					this.#takeRoutes(change, source);
					break;
				}

				case 'instance': {
					this.#takeInstance(subject.id, change, source);
					break;
				}

				case 'evacuation': {
					this.#takeEvacuation(subject.zone, change, source);
					break;
				}

				case 'host': {
					this.#takeHost(subject.id, change);
					break;
				}

				case 'other': {
					break;
				}
			}
		}
	}

	#takeRoutes(change: StoreChange, source: string): void {
		const {items, logger} = this.#options;
		if (change.kind === 'removed') {
			logger.warn('the configuration is missing from the store; the one in force stays', {revision: change.revision});
			return;
		}

		const next = items.decodeRoutes(change.item.value);
		if (!next.success) {
			logger.error('the configuration cannot be read; the one in force stays', {revision: change.item.revision, err: next.error.message});
			return;
		}

		if (this.#table !== undefined && next.data.version < this.#table.version) {
			logger.warn('an older configuration is passed over', {version: next.data.version, inForce: this.#table.version});
			return;
		}

		this.#table = next.data;
		this.#matcher = new RouteMatcher(next.data.routes);
		this.#split.retain(next.data.routes);
		this.#priorities = prioritiesOf(next.data.routes);
		this.#urgentTargets = urgentTargetsOf(next.data.routes, this.#priorities);
		logger.info('configuration in force', {
			version: next.data.version, revision: change.item.revision, source, routes: next.data.routes.length,
		});
		for (const listener of this.#listeners) {
			listener(next.data);
		}
	}

	#takeInstance(id: string, change: StoreChange, source: string): void {
		const {items, instances, logger, clock} = this.#options;
		const nowMs = clock.nowMs();
		if (change.kind === 'removed') {
			instances.remove(id, change.goneMs, nowMs);
			logger.info('instance missing from the store', {
				instance: id, revision: change.revision, source, holdMs: Math.max(0, Math.round(change.goneMs - nowMs)),
			});
			return;
		}

		const decoded = items.decodeInstance(id, change.item.value);
		if (!decoded.success) {
			instances.remove(id, nowMs, nowMs);
			logger.warn('an entry of an instance cannot be read; it names none', {instance: id, revision: change.item.revision, err: decoded.error.message});
			return;
		}

		const {service, address, zone, isDraining, coldMs} = decoded.data;
		instances.write(decoded.data, nowMs);
		logger.info('instance seen', {
			instance: id, service, address, zone, isDraining, coldMs, revision: change.item.revision, source,
		});
	}

	#takeEvacuation(zone: string, change: StoreChange, source: string): void {
		const {instances, logger} = this.#options;
		if (change.kind === 'written') {
			this.#evacuated.add(zone);
		} else {
			this.#evacuated.delete(zone);
		}

		instances.evacuate(new Set(this.#evacuated));
		logger.info(change.kind === 'written' ? 'zone evacuated' : 'zone taken back', {zone, source});
	}

	#takeHost(id: string, change: StoreChange): void {
		const {items, logger} = this.#options;
		if (change.kind === 'removed') {
			this.#hosts.delete(id);
			this.#hostsByRegion = countByRegion(this.#hosts.values());
			return;
		}

		const decoded = items.decodeHost(change.item.value);
		if (decoded.success) {
			this.#hosts.set(id, decoded.data);
			this.#hostsByRegion = countByRegion(this.#hosts.values());
		} else {
			logger.warn('an entry of a host cannot be read', {entry: id, err: decoded.error.message});
		}
	}
}

function countByRegion(hosts: Iterable<ListedHost>): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {region} of hosts) {
		counts.set(region, (counts.get(region) ?? 0) + 1);
	}

	return counts;
}

function prioritiesOf(routes: readonly Route[]): Map<string, readonly number[]> {
	const priorities = new Map<string, number[]>();
	for (const route of routes.filter(item => item.hasAffinity)) {
		for (const {service} of route.targets) {
			const own = priorities.get(service) ?? [];
			priorities.set(service, [...new Set([...own, route.priority])].toSorted((a, b) => a - b));
		}
	}

	return priorities;
}

function urgentTargetsOf(routes: readonly Route[], priorities: ReadonlyMap<string, readonly number[]>): Map<string, number> {
	return new Map([...priorities].map(([service, [urgent]]) => [
		service,
		Math.min(...routes.filter(route => route.hasAffinity && route.priority === urgent && route.targets.some(target => target.service === service)).map(route => route.targetMs)),
	]));
}

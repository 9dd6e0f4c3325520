import {type Clock} from '../contracts/clock.js';
import {type ListedHost} from '../contracts/listed-host.js';
import {type Route} from '../contracts/route.js';
import {type RouteTable} from '../contracts/route-table.js';
import {type SteeringItemCodec} from '../contracts/steering-item-codec.js';
import {type StoreChange} from '../contracts/store-change.js';
import {HeldRemovals} from '../decisions/held-removals.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {RouteMatcher} from '../decisions/route-matcher.js';
import {targetsByPriority} from '../decisions/targets-by-priority.js';
import {TrafficSplit} from '../decisions/traffic-split.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {type ReplicaService} from './replica-service.js';

type SteeringOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn' | 'error' | 'limited'>;
	readonly metrics: Pick<Metrics, 'gauge'>;
	readonly replica: Pick<ReplicaService, 'onChange' | 'onNewEra' | 'unconfirmedMs'>;
	readonly itemCodec: SteeringItemCodec;
	readonly instances: InstanceTable;
};

const expiryCheckMs = 200;

/** Applies the store's items to this host's state: routes, instances, evacuated zones and listed hosts. */
export class SteeringService {
	readonly #options: SteeringOptions;
	readonly #trafficSplit = new TrafficSplit();
	readonly #evacuatedZones = new Set<string>();
	readonly #hosts = new Map<string, ListedHost>();
	/** Zones and hosts whose entries a restored store lacks; they may be written again. */
	readonly #heldZones = new HeldRemovals();
	readonly #heldHosts = new HeldRemovals();
	readonly #quotaSlots = new Map<number, {readonly host: string; readonly revision: number}>();
	#hostsByRegion: ReadonlyMap<string, number> = new Map();
	#addressesByRegion: ReadonlyMap<string, readonly string[]> = new Map();
	readonly #listeners: Array<(table: RouteTable) => void> = [];
	#table: RouteTable | undefined;
	#matcher = new RouteMatcher([]);
	#priorities: ReadonlyMap<string, readonly number[]> = new Map();
	/** Shortest target times in milliseconds, by service and priority. */
	#targetsMs: ReturnType<typeof targetsByPriority> = new Map();

	constructor(options: SteeringOptions) {
		this.#options = options;
	}

	/** The routes in force; `undefined` until the first are received. */
	get routes(): RouteTable | undefined {
		return this.#table;
	}

	/** Time since which nothing has confirmed that this host has the latest configuration, in milliseconds; infinite before the first confirmation. */
	get unconfirmedMs(): number {
		return this.#options.replica.unconfirmedMs;
	}

	/** Whether the configuration in force has client accounts. */
	get hasAccounts(): boolean {
		return this.#table !== undefined && this.#table.accounts.size > 0;
	}

	/** Priorities that requests on routes with affinity can have, by service, most urgent first. */
	get priorities(): ReadonlyMap<string, readonly number[]> {
		return this.#priorities;
	}

	/** Returns the shortest target time of requests of a priority on routes with affinity to a service, in milliseconds; 0 if there can be none. */
	targetMs(service: string, priority: number | undefined): number {
		return priority === undefined ? 0 : this.#targetsMs.get(service)?.get(priority) ?? 0;
	}

	/** Hosts listed in the store, by the id of their entry. */
	get hosts(): ReadonlyMap<string, ListedHost> {
		return this.#hosts;
	}

	/** Hosts that have slots of the quotas, by slot. */
	get quotaSlots(): ReadonlyMap<number, {readonly host: string; readonly revision: number}> {
		return this.#quotaSlots;
	}

	/** Returns the number of listed hosts by region. */
	hostsByRegion(): ReadonlyMap<string, number> {
		return this.#hostsByRegion;
	}

	/** Returns the addresses of the listed hosts of a region. */
	addressesOf(region: string): readonly string[] {
		return this.#addressesByRegion.get(region) ?? [];
	}

	start(lifecycle: Pick<Lifecycle, 'every'>): void {
		const {replica, instances, clock, metrics} = this.#options;
		replica.onChange((changes, source) => {
			this.#applyChanges(changes, source);
		});
		replica.onNewEra((_era, retainUntilMs) => {
			instances.extendRetention(retainUntilMs);
			this.#heldZones.extend(retainUntilMs);
			this.#heldHosts.extend(retainUntilMs);
		});
		lifecycle.every('expiry of instances', expiryCheckMs, () => {
			instances.expire(clock.nowMs());
			this.#removeHeldEntries();
		});
		metrics.gauge('routes_version', () => this.#table?.version ?? 0);
		metrics.gauge('instances_known', () => instances.size);
	}

	/** Registers a listener that is called with each route table that comes into force, and at once with the present one. */
	onRoutes(listener: (table: RouteTable) => void): void {
		this.#listeners.push(listener);
		if (this.#table !== undefined) {
			listener(this.#table);
		}
	}

	match(host: string, path: string): Route | undefined {
		return this.#matcher.match(host, path);
	}

	/** Returns the service for the next request on a route, according to its traffic split. */
	nextServiceOf(route: Route): string | undefined {
		return this.#trafficSplit.next(route);
	}

	#applyChanges(changes: readonly StoreChange[], source: string): void {
		for (const change of changes) {
			const subject = this.#options.itemCodec.parseKey(change.kind === 'written' ? change.item.key : change.key);
			// Only configurations have versions of their own, by which a value of unknown age can be ordered.
			if (change.kind === 'written' && change.origin === 'unordered' && subject.kind !== 'routes') {
				continue;
			}

			switch (subject.kind) {
				case 'routes': {
					this.#applyRoutes(change, source);
					break;
				}

				case 'instance': {
					this.#applyInstance(subject.id, change, source);
					break;
				}

				case 'evacuation': {
					this.#applyEvacuation(subject.zone, change, source);
					break;
				}

				case 'host': {
					this.#applyHost(subject.id, change);
					break;
				}

				case 'quota_slot': {
					this.#applyQuotaSlot(subject.slot, change);
					break;
				}

				case 'other': {
					break;
				}
			}
		}
	}

	#applyRoutes(change: StoreChange, source: string): void {
		const {itemCodec, logger} = this.#options;
		if (change.kind === 'removed') {
			logger.warn('the configuration is missing from the store; keeping the one in force', {revision: change.revision});
			return;
		}

		const next = itemCodec.decodeRoutes(change.item.value);
		if (!next.success) {
			logger.error('the configuration cannot be decoded; keeping the one in force', {revision: change.item.revision, err: next.error.message});
			return;
		}

		if (change.origin === 'unordered' && this.#table !== undefined && next.data.version <= this.#table.version) {
			return;
		}

		if (this.#table !== undefined && next.data.version < this.#table.version) {
			logger.warn('ignored a configuration that is older than the one in force', {version: next.data.version, inForce: this.#table.version});
			return;
		}

		this.#table = next.data;
		this.#matcher = new RouteMatcher(next.data.routes);
		this.#trafficSplit.retain(next.data.routes);
		this.#targetsMs = targetsByPriority(next.data);
		this.#priorities = new Map([...this.#targetsMs].map(([service, targets]) => [service, [...targets.keys()]]));
		logger.info('configuration in force', {
			version: next.data.version, revision: change.item.revision, source, routes: next.data.routes.length, accounts: next.data.accounts.size, keys: next.data.accountByKey.size,
		});
		for (const listener of this.#listeners) {
			listener(next.data);
		}
	}

	#applyInstance(id: string, change: StoreChange, source: string): void {
		const {itemCodec, instances, logger, clock} = this.#options;
		const nowMs = clock.nowMs();
		if (change.kind === 'removed') {
			instances.remove(id, change.retainUntilMs, nowMs);
			logger.info('instance missing from the store', {
				instance: id, revision: change.revision, source, holdMs: Math.max(0, Math.round(change.retainUntilMs - nowMs)),
			});
			return;
		}

		const decoded = itemCodec.decodeInstance(id, change.item.value);
		if (!decoded.success) {
			instances.remove(id, nowMs, nowMs);
			logger.limited('an instance entry cannot be decoded; the instance is removed', {instance: id, revision: change.item.revision, err: decoded.error.message}, 'warn');
			return;
		}

		const {service, address, zone, isDraining, coldMs} = decoded.data;
		if (change.origin === 'restored') {
			instances.writeRestored(decoded.data, nowMs);
		} else {
			instances.write(decoded.data, nowMs);
		}

		logger.info('instance seen', {
			instance: id, service, address, zone, isDraining, coldMs, revision: change.item.revision, source,
		});
	}

	#applyEvacuation(zone: string, change: StoreChange, source: string): void {
		const {instances, logger, clock} = this.#options;
		if (change.kind === 'removed' && change.isLost === true && change.retainUntilMs > clock.nowMs()) {
			this.#heldZones.hold(zone, change.retainUntilMs);
			return;
		}

		this.#heldZones.cancel(zone);
		if (change.kind === 'written') {
			this.#evacuatedZones.add(zone);
		} else {
			this.#evacuatedZones.delete(zone);
		}

		instances.evacuate(new Set(this.#evacuatedZones));
		logger.info(change.kind === 'written' ? 'zone evacuated' : 'zone taken back', {
			zone, revision: change.kind === 'written' ? change.item.revision : change.revision, source,
		});
	}

	#applyQuotaSlot(slot: number, change: StoreChange): void {
		const host = change.kind === 'written' ? this.#options.itemCodec.decodeQuotaSlot(change.item.value) : undefined;
		if (change.kind === 'written' && host?.success) {
			this.#quotaSlots.set(slot, {host: host.data, revision: change.item.revision});
		} else {
			this.#quotaSlots.delete(slot);
		}
	}

	#applyHost(id: string, change: StoreChange): void {
		const {itemCodec, logger, clock} = this.#options;
		if (change.kind === 'removed' && change.isLost === true && change.retainUntilMs > clock.nowMs()) {
			this.#heldHosts.hold(id, change.retainUntilMs);
			return;
		}

		this.#heldHosts.cancel(id);
		if (change.kind === 'removed') {
			this.#hosts.delete(id);
			this.#indexHosts();
			return;
		}

		const decoded = itemCodec.decodeHost(change.item.value);
		if (decoded.success) {
			this.#hosts.set(id, decoded.data);
			this.#indexHosts();
		} else {
			logger.limited('a host entry cannot be decoded; it is ignored', {entry: id, err: decoded.error.message}, 'warn');
		}
	}

	/** Removes the zones and hosts that the restored store still lacks after the time for them to be written again. */
	#removeHeldEntries(): void {
		const {instances, clock, logger} = this.#options;
		for (const zone of this.#heldZones.takeDue(clock.nowMs())) {
			this.#evacuatedZones.delete(zone);
			instances.evacuate(new Set(this.#evacuatedZones));
			logger.info('zone taken back', {zone, source: 'restored store'});
		}

		const hosts = this.#heldHosts.takeDue(clock.nowMs());
		for (const id of hosts) {
			this.#hosts.delete(id);
		}

		if (hosts.length > 0) {
			this.#indexHosts();
		}
	}

	#indexHosts(): void {
		const hosts = [...this.#hosts.values()];
		const regions = [...new Set(hosts.map(({region}) => region))];
		this.#addressesByRegion = new Map(regions.map(region => [region, hosts.filter(host => host.region === region).map(({address}) => address)]));
		this.#hostsByRegion = new Map([...this.#addressesByRegion].map(([region, addresses]) => [region, addresses.length]));
	}
}

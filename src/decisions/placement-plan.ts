import {type PlacementReport} from '../contracts/placement-report.js';
import {type PlacementUpdate} from '../contracts/placement-update.js';
import {type RegionLoad} from '../contracts/region-load.js';
import {isMostUrgent} from './is-most-urgent.js';
import {ObjectAssignments} from './object-assignments.js';
import {ObjectCapacity} from './object-capacity.js';
import {objectId} from './object-id.js';
import {minDemandSlots} from './min-demand-slots.js';
import {PauseReports} from './pause-reports.js';
import {PoolUsage} from './pool-usage.js';
import {regionCapacities} from './region-capacities.js';
import {RegionLoads} from './region-loads.js';
import {rendezvousFirst} from './rendezvous-first.js';
import {RouteTimes} from './route-times.js';
import {scopedObjectKey} from './scoped-object-key.js';
import {ShiftBudget} from './shift-budget.js';
import {SlownessReports} from './slowness-reports.js';
import {initialRegion} from './initial-region.js';
import {UrgentReserve} from './urgent-reserve.js';

type PlannedObject = NonNullable<ReturnType<ObjectAssignments['getOrAdd']>>;

/** An instance that accepts requests. */
type PlanInstance = PoolUsage['instances'][number];

/** Priorities that requests on routes with affinity to each service can have, most urgent first. */
type Priorities = ReadonlyMap<string, readonly number[]>;

type PlacementPlanOptions = {
	readonly region: string;
	/** Number of objects that are assigned. */
	readonly maxObjects?: number;
};

/** State of the system for which the plan is updated. */
type TickInputs = {
	/** Instances of all regions that accept requests now. */
	readonly instances: readonly PlanInstance[];
	readonly priorities: Priorities;
	/** Whether the configuration has client accounts, whose priorities may be unused. */
	readonly hasAccounts?: boolean;
	/** Number of hosts by region. */
	readonly hosts: ReadonlyMap<string, number>;
};

/** Instances that serve the same objects: those reserved for the most urgent requests of a service, or all others of the service. */
type Pool = {readonly usage: PoolUsage; readonly objects: readonly PlannedObject[]};

/** Number of objects that are assigned by default: ten times those of the largest deployment known. Some steps of a tick take the square of it. */
const defaultMaxObjects = 4000;
/** Time after its start in which a plan measures the demand of the objects and adopts earlier assignments, but does not balance load. */
const learningMs = 3000;
/** Utilization of an instance from which objects move to another instance if that one's utilization is lower by the margin. */
const busyUtilization = 0.7;
const utilizationMargin = 0.25;
/** Utilization of an instance above which its queue grows: more of its objects move per tick, and sooner after an earlier move. */
const overloadUtilization = 1;
/** Numbers of moves within the region per pool and tick: in total, and from instances that are not overloaded. Each move costs a cold run. */
const maxMovesPerTick = 6;
const maxMovesWithoutOverload = 1;
/** Shortest times between two moves of an object; the second applies at an overloaded instance. */
const minStayMs = 6000;
const overloadMinStayMs = 2000;
/** Multiple of the usual time above which a run counts as cold. Cold runs take about three times as long as warm ones. */
const coldMinFactor = 2;
/** Longest time between the end of a run and a host's report of it. */
const maxReportDelayMs = 1200;
/** Utilization of the region above which objects move to other regions, and below which they return. */
const shiftUtilization = 0.6;
const returnUtilization = 0.4;
/** Share of the region's slots up to which free slots are offered to other regions. */
const offeredSlotShare = 0.8;

/**
 * Plans which instance serves which object for the requests that enter the system in one region. Objects stay at instances that
 * are warm for them. A few at a time move from busy instances to less busy ones; they move to other regions only within
 * the slots that those offer and under the cap on cross-region shifts. The plan is meant for moderate loads: it sheds no requests.
 */
export class PlacementPlan {
	readonly #region: string;
	readonly #assignments: ObjectAssignments;
	readonly #routeTimes = new RouteTimes();
	readonly #regionLoads: RegionLoads;
	readonly #slownessReports = new SlownessReports();
	readonly #pauseReports = new PauseReports();
	readonly #objectCapacity = new ObjectCapacity();
	readonly #reserve = new UrgentReserve();
	readonly #startMs: number;
	readonly #shiftBudget = new ShiftBudget();
	#reservations: PlacementUpdate['reserved'] = [];
	/** Regions of the instances that accept requests, by instance id; an instance may be missing from its pool while it pauses. */
	#presentRegions: ReadonlyMap<string, string> = new Map();
	#priorities: Priorities = new Map();
	#hasAccounts = false;
	/** Priorities of the objects in demand by service, most urgent first. */
	readonly #prioritiesInUse = new Map<string, readonly number[]>();
	/** Slots and hosts of each region by service. */
	#regionCapacities: ReadonlyMap<string, ReturnType<typeof regionCapacities>> = new Map();
	#poolLoads: RegionLoad['pools'] = [];
	#offers: RegionLoad['offers'] = [];
	/** Slots that this region's requests keep busy in any region, by instance id. */
	#usedSlots = new Map<string, number>();

	/** `version` has to exceed that of any earlier plan of the region; `known` are the initial assignments, from object id to instance id. */
	constructor({region, maxObjects = defaultMaxObjects}: PlacementPlanOptions, version: number, known: ReadonlyMap<string, string>, nowMs: number) {
		this.#region = region;
		this.#regionLoads = new RegionLoads(region);
		this.#assignments = new ObjectAssignments({version, known, maxObjects}, nowMs);
		this.#startMs = nowMs;
	}

	/** Updates the plan with the report of a host; returns the assignments that the host lacks. */
	applyReport(report: PlacementReport, nowMs: number): PlacementUpdate {
		if (this.#isLearning(nowMs)) {
			this.#assignments.adopt(report.known, report.haveVersion, nowMs);
		}

		for (const [service, route, shortestMs] of report.routes) {
			this.#routeTimes.record(`${service}|${route}`, shortestMs);
		}

		for (const [instanceId, slowness] of report.slow) {
			this.#slownessReports.apply(instanceId, report.host, slowness, nowMs);
		}

		for (const [instanceId, pauseMs] of report.paused ?? []) {
			this.#pauseReports.apply(instanceId, report.host, pauseMs, nowMs);
		}

		for (const run of report.runs) {
			this.#countRun(run, nowMs);
		}

		for (const [service, route, priority, objectKey, requests, allowedRegions] of report.objects) {
			const object = this.#assignments.getOrAdd(service, priority, objectKey, nowMs);
			if (object === undefined) {
				continue;
			}

			object.demand.recordRequests(`${service}|${route}`, requests, nowMs);
			object.allowedRegions = allowedRegions.length > 0 ? allowedRegions : object.allowedRegions;
		}

		// A report with known assignments has another planner's version, which is not comparable with the versions of this one.
		const haveVersion = report.known.length > 0 ? 0 : report.haveVersion;
		return {version: this.#assignments.version, reserved: this.#reservations, entries: this.#assignments.changesSince(haveVersion)};
	}

	/** Updates the plan with the load of another region. */
	applyRegionLoad(load: RegionLoad, nowMs: number): void {
		for (const [route, timeMs] of load.times) {
			this.#routeTimes.record(route, timeMs);
		}

		this.#regionLoads.apply(load, nowMs);
	}

	/** Returns the load of this region, to be sent to the planners of the other regions. */
	regionLoad(): RegionLoad {
		return {
			region: this.#region,
			pools: this.#poolLoads,
			reserved: this.#reserve.ids,
			offers: this.#offers,
			uses: [...this.#usedSlots].map(([id, slots]) => [id, roundToHundredths(slots)]),
			times: this.#routeTimes.entries,
		};
	}

	/** Returns the instances that the region's hosts report as slow, each with how many times slower than usual it is. */
	slowInstances(nowMs: number): Array<[instanceId: string, slowness: number]> {
		return this.#slownessReports.list(nowMs);
	}

	/** Number of objects that an instance stays warm for, by service, for the services whose instances were observed to evict objects. */
	get objectCapacities(): Array<[service: string, objects: number]> {
		return this.#objectCapacity.entries;
	}

	/** Priorities of the objects in demand, most urgent first, by service. Services without demand are missing, and all while the plan learns. */
	get prioritiesInUse(): Array<[service: string, priorities: number[]]> {
		return [...this.#prioritiesInUse].map(([service, priorities]) => [service, [...priorities]]);
	}

	/** Updates the plan for the instances that accept requests now. */
	tick({instances, priorities, hasAccounts = false, hosts}: TickInputs, nowMs: number): void {
		this.#assignments.withdrawLeastUsed(nowMs);
		this.#offers = [];
		this.#poolLoads = [];
		this.#usedSlots = new Map();
		this.#reservations = [];
		this.#presentRegions = new Map(instances.map(instance => [instance.id, instance.region]));
		this.#priorities = priorities;
		this.#hasAccounts = hasAccounts;
		this.#prioritiesInUse.clear();
		const services = [...new Set(instances.map(instance => instance.service))];
		this.#regionCapacities = new Map(services.map(service => [service, regionCapacities(instances.filter(instance => instance.service === service), hosts)]));
		const ownHosts = hosts.get(this.#region) ?? 1;
		// An instance that is three times slower than usual counts with a third of its slots, and one that pauses for all hosts with none.
		const adjustedInstances = instances
			.map(instance => ({...instance, slots: instance.slots * this.#pauseReports.usableShare(instance.id, ownHosts, nowMs) / this.#slownessReports.slownessOf(instance.id, nowMs)}))
			.filter(({slots}) => slots > 0);
		const pools = services.flatMap(service => this.#poolsOf(service, adjustedInstances, nowMs));
		const requestsPerSecond = pools.flatMap(pool => pool.objects).reduce((sum, object) => sum + object.demand.requestsPerSecond(nowMs), 0);
		this.#shiftBudget.advance(requestsPerSecond, nowMs);
		this.#objectCapacity.update(pools.flatMap(({usage}) => usage.localInstances
			.filter(instance => usage.slotUtilization(instance) < busyUtilization)
			.map(instance => ({id: instance.id, service: instance.service, objects: usage.countObjects(instance)}))), nowMs);
		for (const pool of pools) {
			this.#placeUnplaced(pool, nowMs);
			if (!this.#isLearning(nowMs)) {
				this.#shiftBetweenRegions(pool, nowMs);
				this.#balance(pool, nowMs);
			}

			this.#recordLoad(pool, nowMs);
		}
	}

	/** Returns the id of an object's instance; empty if it has none. */
	instanceOf(id: string): string {
		return this.#assignments.get(id)?.instanceId ?? '';
	}

	/** Counts whether an instance was still warm for an object. A run that may have begun before the object's first run there ended is ignored. */
	#countRun([service, route, priority, objectKey, runMs]: PlacementReport['runs'][number], nowMs: number): void {
		const object = this.#assignments.get(objectId(service, priority, objectKey));
		if (object === undefined) {
			return;
		}

		if (object.firstRunEndedMs < nowMs - runMs - maxReportDelayMs && !this.#slownessReports.isSlow(object.instanceId, nowMs)) {
			this.#objectCapacity.recordRun(object.instanceId, runMs > coldMinFactor * this.#routeTimes.get(`${service}|${route}`), nowMs);
		}

		object.firstRunEndedMs = Math.min(object.firstRunEndedMs, nowMs);
	}

	#isLearning(nowMs: number): boolean {
		return nowMs - this.#startMs < learningMs;
	}

	/** Returns the number of slots that an object's requests keep busy. */
	#demandSlots(object: PlannedObject, nowMs: number): number {
		return object.demand.busySlots(this.#routeTimes, nowMs);
	}

	#totalDemandSlots(objects: readonly PlannedObject[], nowMs: number): number {
		return objects.reduce((sum, object) => sum + this.#demandSlots(object, nowMs), 0);
	}

	/** Returns the objects in descending order of demand. */
	#byDemand(objects: readonly PlannedObject[], nowMs: number): PlannedObject[] {
		return objects.toSorted((a, b) => this.#demandSlots(b, nowMs) - this.#demandSlots(a, nowMs));
	}

	/** Divides a service's instances into pools. Some are reserved for the most urgent requests, so that these do not wait behind long ones. */
	#poolsOf(service: string, all: readonly PlanInstance[], nowMs: number): Pool[] {
		const instances = all.filter(instance => instance.service === service);
		const localInstances = instances.filter(instance => instance.region === this.#region);
		const remoteInstances = instances.filter(instance => instance.region !== this.#region);
		const objects = this.#assignments.ofService(service);
		const requested = objects.filter(object => this.#demandSlots(object, nowMs) > minDemandSlots);
		if (!this.#isLearning(nowMs) && requested.length > 0) {
			this.#prioritiesInUse.set(service, [...new Set(requested.map(object => object.priority))].toSorted((a, b) => a - b));
		}

		const priorities = this.#prioritiesInUse.get(service) ?? this.#priorities.get(service) ?? [];
		const urgentPriority = Math.min(...priorities);
		const hasSeveralPriorities = priorities.some(priority => priority > urgentPriority);
		if (requested.length > 0) {
			this.#reserve.recordRequested(service, nowMs);
		}

		const isSharedInstance = localInstances.length < 2 && !(remoteInstances.length > 0 && this.#isOverUtilized(localInstances, requested, nowMs));
		const reserved = hasSeveralPriorities && !isSharedInstance ? this.#reserve.choose(this.#reserveInputsOf(localInstances, requested, urgentPriority, nowMs), nowMs) : [];
		if (reserved.length === 0) {
			this.#reserve.release(service);
		}

		const otherInstances = [...localInstances.filter(instance => !reserved.includes(instance)), ...remoteInstances.filter(instance => !this.#regionLoads.isReserved(instance))];
		if (reserved.length === 0) {
			return [this.#createPool(`${service}|rest`, otherInstances, objects, nowMs)];
		}

		this.#reservations.push([service, urgentPriority, reserved.map(instance => instance.id)]);
		const urgentInstances = [...reserved, ...remoteInstances.filter(instance => this.#regionLoads.isReserved(instance))];
		return [
			this.#createPool(`${service}|rest`, otherInstances, objects.filter(object => object.priority !== urgentPriority), nowMs),
			this.#createPool(`${service}|urgent`, urgentInstances, objects.filter(object => object.priority === urgentPriority), nowMs),
		];
	}

	/** Returns whether the only instance of the region is too busy to serve requests of all priorities. */
	#isOverUtilized([only]: readonly PlanInstance[], objects: readonly PlannedObject[], nowMs: number): boolean {
		return only !== undefined && this.#totalDemandSlots(objects, nowMs) / only.slots > (this.#reserve.has(only.service, only.id) ? returnUtilization : shiftUtilization);
	}

	/** Returns the inputs that determine how many local instances of a service are reserved for requests of the most urgent priority. */
	#reserveInputsOf(localInstances: readonly PlanInstance[], requested: readonly PlannedObject[], urgentPriority: number, nowMs: number) {
		const {service} = localInstances[0]!;
		const urgentObjects = requested.filter(object => object.priority === urgentPriority);
		return {
			service,
			localInstances,
			urgentDemandSlots: this.#totalDemandSlots(urgentObjects, nowMs),
			totalDemandSlots: this.#totalDemandSlots(requested, nowMs),
			urgentObjectCount: urgentObjects.length,
			objectCapacity: this.#objectCapacity.capacityOf(service),
			isSlow: (id: string) => this.#slownessReports.isSlow(id, nowMs),
		};
	}

	#createPool(name: string, instances: readonly PlanInstance[], objects: readonly PlannedObject[], nowMs: number): Pool {
		const usage = new PoolUsage({
			name, instances, region: this.#region, otherBusySlotsOf: id => this.#regionLoads.usedSlots(id, nowMs), objectCapacity: this.#objectCapacity.capacityOf(instances[0]?.service ?? ''),
		});
		for (const object of objects) {
			usage.add(object.instanceId, this.#demandSlots(object, nowMs));
		}

		return {usage, objects};
	}

	/**
	 * Assigns every object whose instance is not in the pool to one of the pool, in descending order of demand. Objects whose instance
	 * was lost move to another region at once if this one is busy: the cap on cross-region shifts does not apply to losses.
	 */
	#placeUnplaced(pool: Pool, nowMs: number): void {
		const {usage, objects} = pool;
		const unplaced = objects.filter(object => usage.get(object.instanceId) === undefined);
		for (const object of this.#byDemand(unplaced, nowMs)) {
			const presentRegion = this.#presentRegions.get(object.instanceId);
			const isPresent = presentRegion !== undefined;
			if (isPresent && !usage.localInstances.some(instance => mayRunIn(object, instance.region))) {
				this.#shift(usage, object, this.#remoteTarget(pool, object, nowMs), nowMs);
				continue;
			}

			const initial = this.#initialInstance(usage, object);
			if (initial === undefined) {
				continue;
			}

			if (isPresent && presentRegion !== initial.region) {
				this.#shift(usage, object, initial, nowMs);
				continue;
			}

			const isInstanceLost = object.instanceId !== '' && !isPresent;
			const remote = isInstanceLost && usage.utilization(initial) > busyUtilization ? this.#remoteTarget(pool, object, nowMs) : undefined;
			const isRemoteBetter = remote !== undefined && usage.utilization(remote) + utilizationMargin < usage.utilization(initial);
			this.#move(usage, object, isRemoteBetter ? remote : initial, nowMs);
		}
	}

	/** Returns the instance to which an object is assigned first: in its initial region, or else in the own region, or else anywhere. */
	#initialInstance(usage: PoolUsage, object: PlannedObject): PlanInstance | undefined {
		const allowed = usage.instances.filter(instance => mayRunIn(object, instance.region));
		const region = this.#initialRegion(object);
		const candidates = firstNonEmpty(allowed.filter(instance => instance.region === region), allowed.filter(instance => instance.region === this.#region), allowed);
		return preferredInstance(usage, candidates, object);
	}

	/** Returns the region in which an object is placed first. */
	#initialRegion({service, priority, objectKey}: PlannedObject): string {
		const inUse = this.#hasAccounts ? this.#prioritiesInUse.get(service) : undefined;
		const isUrgent = isMostUrgent(priority, inUse ?? this.#priorities.get(service) ?? []);
		return initialRegion(scopedObjectKey.plain(objectKey), this.#region, this.#regionCapacities.get(service) ?? [], isUrgent);
	}

	/** Moves an object to an instance in another region if the cap on cross-region shifts allows it; otherwise the object stays for now. */
	#shift(usage: PoolUsage, object: PlannedObject, to: PlanInstance | undefined, nowMs: number): void {
		if (to !== undefined && this.#shiftBudget.hasRemaining) {
			this.#shiftBudget.spend(object.demand.requestsPerSecond(nowMs));
			this.#move(usage, object, to, nowMs);
		}
	}

	/** Moves objects to other regions while this one is busy, or back while it is not. */
	#shiftBetweenRegions(pool: Pool, nowMs: number): void {
		const {usage} = pool;
		if (usage.localInstances.length === 0) {
			return;
		}

		if (usage.localUtilization < returnUtilization) {
			this.#returnObjects(pool, nowMs);
		}

		while (usage.localUtilization > shiftUtilization && this.#shiftBudget.hasRemaining) {
			const object = this.#objectToShift(pool, usage.mostUtilizedLocal()!, nowMs);
			const to = object === undefined ? undefined : this.#remoteTarget(pool, object, nowMs);
			if (object === undefined || to === undefined) {
				return;
			}

			this.#shift(usage, object, to, nowMs);
		}
	}

	#returnObjects({usage, objects}: Pool, nowMs: number): void {
		const remoteObjects = objects.filter(object => {
			const instance = usage.get(object.instanceId);
			return instance !== undefined && instance.region !== this.#region && mayRunIn(object, this.#region) && nowMs - object.lastMovedMs > minStayMs;
		});
		for (const object of remoteObjects) {
			if (usage.localUtilization >= returnUtilization) {
				return;
			}

			this.#shift(usage, object, usage.leastUtilized(usage.localInstances), nowMs);
		}
	}

	/**
	 * Returns the instance for an object in another region that still offers slots. The rendezvous order is the same in all regions, so
	 * the requests of both regions for the object usually run at the same instance.
	 */
	#remoteTarget({usage, objects}: Pool, object: PlannedObject, nowMs: number): PlanInstance | undefined {
		const usedByRegion = new Map<string, number>();
		for (const other of objects) {
			const region = usage.get(other.instanceId)?.region ?? '';
			usedByRegion.set(region, (usedByRegion.get(region) ?? 0) + this.#demandSlots(other, nowMs));
		}

		const offering = usage.instances.filter(({region}) =>
			region !== this.#region && mayRunIn(object, region) && (usedByRegion.get(region) ?? 0) < this.#regionLoads.offeredSlots(region, usage.name, nowMs));
		const leastUtilized = usage.leastUtilized(offering);
		return preferredInstance(usage, offering.filter(instance => instance.region === leastUtilized?.region), object);
	}

	/** Returns the object to move from a busy instance to another region: the one with the highest demand among those that have stayed long enough. */
	#objectToShift({usage, objects}: Pool, from: PlanInstance, nowMs: number): PlannedObject | undefined {
		const remoteInstances = usage.instances.filter(instance => instance.region !== from.region);
		const movable = objects.filter(object => object.instanceId === from.id && nowMs - object.lastMovedMs > minStayMs && this.#demandSlots(object, nowMs) > 0
			&& remoteInstances.some(instance => mayRunIn(object, instance.region)));
		return this.#byDemand(movable, nowMs)[0];
	}

	/** Moves objects from the instances of the region with the highest utilization to those with the lowest. */
	#balance({usage, objects}: Pool, nowMs: number): void {
		for (let moves = 0; moves < maxMovesPerTick && usage.localInstances.length > 1; moves++) {
			const from = usage.mostUtilizedLocal()!;
			const to = usage.leastUtilized(usage.localInstances)!;
			const utilizationGap = usage.utilization(from) - usage.utilization(to);
			const isOverloaded = usage.utilization(from) > overloadUtilization;
			if (usage.utilization(from) < busyUtilization || utilizationGap < utilizationMargin || (moves >= maxMovesWithoutOverload && !isOverloaded)) {
				return;
			}

			const stayMs = isOverloaded ? overloadMinStayMs : minStayMs;
			const maxDemandSlots = utilizationGap * to.slots / 2;
			const movable = objects.filter(item =>
				item.instanceId === from.id && nowMs - item.lastMovedMs > stayMs && this.#demandSlots(item, nowMs) > 0 && this.#demandSlots(item, nowMs) <= maxDemandSlots);
			const [object] = this.#byDemand(movable, nowMs);
			if (object === undefined) {
				return;
			}

			this.#move(usage, object, to, nowMs);
		}
	}

	#move(usage: PoolUsage, object: PlannedObject, to: PlanInstance, nowMs: number): void {
		const demand = this.#demandSlots(object, nowMs);
		if (usage.get(object.instanceId) !== undefined) {
			usage.remove(object.instanceId, demand);
			object.lastMovedMs = nowMs;
		}

		usage.add(to.id, demand);
		this.#assignments.assign(object, to.id);
	}

	/** Records the slots that are offered to other regions, and the slots that this region's requests use in any region. */
	#recordLoad({usage, objects}: Pool, nowMs: number): void {
		for (const object of objects) {
			const instance = usage.get(object.instanceId);
			if (instance !== undefined) {
				this.#usedSlots.set(instance.id, (this.#usedSlots.get(instance.id) ?? 0) + this.#demandSlots(object, nowMs));
			}
		}

		if (usage.localInstances.length === 0) {
			this.#poolLoads.push([usage.name, 0, this.#totalDemandSlots(objects, nowMs)]);
			return;
		}

		this.#poolLoads.push([usage.name, usage.localSlots, usage.localBusySlots]);
		const remoteSlots = usage.localInstances.reduce((sum, instance) => sum + this.#regionLoads.usedSlots(instance.id, nowMs), 0);
		const spareSlots = Math.max(0, (offeredSlotShare * usage.localSlots) - usage.localBusySlots + remoteSlots);
		for (const [region, slots] of this.#regionLoads.divideSpareSlots(usage.name, spareSlots, usage.localUtilization, nowMs)) {
			this.#offers.push([usage.name, region, slots]);
		}
	}
}

/** Rounds slots to hundredths for the report to other regions. */
function roundToHundredths(slots: number): number {
	return Math.round(slots * 100) / 100;
}

/** Returns the first of the lists that is not empty; an empty list if all are. */
function firstNonEmpty(...lists: ReadonlyArray<readonly PlanInstance[]>): readonly PlanInstance[] {
	return lists.find(list => list.length > 0) ?? [];
}

/** Returns the first of the instances in the object's rendezvous order, unless its utilization exceeds the lowest one by more than the margin. */
function preferredInstance(usage: PoolUsage, instances: readonly PlanInstance[], {objectKey}: PlannedObject): PlanInstance | undefined {
	const first = rendezvousFirst(scopedObjectKey.plain(objectKey), instances, instance => instance.id);
	const leastUtilized = usage.leastUtilized(instances);
	if (first === undefined || leastUtilized === undefined) {
		return undefined;
	}

	return usage.utilization(first) <= usage.utilization(leastUtilized) + utilizationMargin ? first : leastUtilized;
}

function mayRunIn(object: PlannedObject, region: string): boolean {
	return object.allowedRegions.length === 0 || object.allowedRegions.includes(region);
}

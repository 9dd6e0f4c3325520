import {type PlacementReport} from '../contracts/placement-report.js';
import {type PlacementUpdate} from '../contracts/placement-update.js';
import {type RegionLoad} from '../contracts/region-load.js';
import {isMostUrgent} from './is-most-urgent.js';
import {ObjectAssignments} from './object-assignments.js';
import {ObjectCapacity} from './object-capacity.js';
import {objectId} from './object-id.js';
import {leastDemand} from './least-demand.js';
import {PoolPicture} from './pool-picture.js';
import {regionSizes} from './region-sizes.js';
import {RegionLoads} from './region-loads.js';
import {rendezvousOrder} from './rendezvous-order.js';
import {RouteTimes} from './route-times.js';
import {ShiftBudget} from './shift-budget.js';
import {SlowInstances} from './slow-instances.js';
import {startRegion} from './start-region.js';
import {UrgentReserve} from './urgent-reserve.js';

type PlannedObject = ReturnType<ObjectAssignments['obtain']>;

/** An instance that takes work. */
type PlanInstance = PoolPicture['instances'][number];

/** Priorities of the routes with affinity to each service, most urgent first. */
type Priorities = ReadonlyMap<string, readonly number[]>;

type PlanOptions = {
	readonly region: string;
};

/** What a plan is made for. */
type Surroundings = {
	/** Instances that take work now. */
	readonly instances: readonly PlanInstance[];
	readonly priorities: Priorities;
	/** Hosts by region. */
	readonly hosts: ReadonlyMap<string, number>;
};

/** Instances that serve the same objects: those for the most urgent requests of a service, or the rest. */
type Pool = {readonly picture: PoolPicture; readonly objects: readonly PlannedObject[]};

/** Time in which a new plan only learns how much the objects need, in milliseconds. */
const learningMs = 3000;
/** Busy share of an instance above which objects move away if another is less busy by the margin. */
const busyShare = 0.7;
const marginShare = 0.25;
/** Busy share of an instance above which its queue grows: more objects leave it at once, and sooner after a move. */
const overloadShare = 1;
/** Objects of one service that move within the region at a tick, in total and from instances that are not overloaded: each move costs a run that is not warm. */
const movesPerTick = 6;
const usualMovesPerTick = 1;
/** Time for which an object stays after a move, in milliseconds; at an overloaded instance, the shorter one. */
const settleMs = 6000;
const overloadSettleMs = 2000;
/** Times the usual time from which a run counts as one of an instance that was not warm: those take about three times as long. */
const coldFrom = 2;
/** Longest time between the end of a run and a host's report of it, in milliseconds. */
const reportDelayMs = 1200;
/** Busy share of the region above which objects leave it, and below which they come back. */
const leaveShare = 0.6;
const returnShare = 0.4;
/** Share of the region's slots that are offered to other regions when they are free. */
const offeredShare = 0.8;

/**
 * Plans which instance serves which object of the requests that enter in one region. Objects stay where they are warm;
 * they move from busy instances to less busy ones, a few at a time, and to other regions only within what those
 * offer and under the cap on shifts between regions. Answers moderate loads: the plan does not refuse anything.
 */
export class PlacementPlan {
	readonly #region: string;
	readonly #assignments: ObjectAssignments;
	readonly #times = new RouteTimes();
	readonly #regionLoads: RegionLoads;
	readonly #slow = new SlowInstances();
	readonly #capacity = new ObjectCapacity();
	readonly #reserve = new UrgentReserve();
	readonly #startMs: number;
	readonly #shifts = new ShiftBudget();
	#reservations: PlacementUpdate['reserved'] = [];
	/** Instances that take work. */
	#present: ReadonlySet<string> = new Set();
	#priorities: Priorities = new Map();
	/** Slots and hosts of each region, by service. */
	#sizes: ReadonlyMap<string, ReturnType<typeof regionSizes>> = new Map();
	#pools: RegionLoad['pools'] = [];
	#offers: RegionLoad['offers'] = [];
	#uses = new Map<string, number>();

	/** `version` has to exceed that of any earlier plan of the region; `known` are the assignments to begin with. */
	constructor({region}: PlanOptions, version: number, known: ReadonlyMap<string, string>, nowMs: number) {
		this.#region = region;
		this.#regionLoads = new RegionLoads(region);
		this.#assignments = new ObjectAssignments(version, known, nowMs);
		this.#startMs = nowMs;
	}

	/** Takes in what a host saw; answers the assignments that it lacks. */
	report(report: PlacementReport, nowMs: number): PlacementUpdate {
		if (this.#isLearning(nowMs)) {
			this.#assignments.adopt(report.known, report.haveVersion, nowMs);
		}

		for (const [service, route, shortestMs] of report.routes) {
			this.#times.learn(`${service}|${route}`, shortestMs);
		}

		for (const [instanceId, slowness] of report.slow) {
			this.#slow.hear(instanceId, report.host, slowness, nowMs);
		}

		for (const run of report.runs) {
			this.#countRun(run, nowMs);
		}

		for (const [service, route, priority, objectKey, requests, allowedRegions] of report.objects) {
			const object = this.#assignments.obtain(service, priority, objectKey, nowMs);
			object.demand.count(`${service}|${route}`, requests, nowMs);
			object.allowedRegions = allowedRegions.length > 0 ? allowedRegions : object.allowedRegions;
		}

		// Versions of different planners say nothing about each other.
		const haveVersion = report.known.length > 0 ? 0 : report.haveVersion;
		return {version: this.#assignments.version, reserved: this.#reservations, entries: this.#assignments.changesSince(haveVersion)};
	}

	/** Takes in another region's offers and uses. */
	hear(load: RegionLoad, nowMs: number): void {
		for (const [route, timeMs] of load.times) {
			this.#times.learn(route, timeMs);
		}

		this.#regionLoads.hear(load, nowMs);
	}

	/** What to tell the other regions' planners. */
	regionLoad(): RegionLoad {
		return {
			region: this.#region,
			pools: this.#pools,
			reserved: this.#reserve.ids,
			offers: this.#offers,
			uses: [...this.#uses].map(([id, slots]) => [id, round(slots)]),
			times: this.#times.entries,
		};
	}

	/** Instances that the region's hosts find slow, and how many times slower than usual. */
	slowInstances(nowMs: number): Array<[instanceId: string, slowness: number]> {
		return this.#slow.list(nowMs);
	}

	/** Objects that an instance stays warm for, by service, where that was seen to be too few. */
	get keptObjects(): Array<[service: string, objects: number]> {
		return this.#capacity.entries;
	}

	/** Adapts the plan to the instances that take work now. */
	tick({instances, priorities, hosts}: Surroundings, nowMs: number): void {
		this.#assignments.forget(nowMs);
		this.#offers = [];
		this.#pools = [];
		this.#uses = new Map();
		this.#reservations = [];
		this.#present = new Set(instances.map(instance => instance.id));
		this.#priorities = priorities;
		const services = [...new Set(instances.map(instance => instance.service))];
		this.#sizes = new Map(services.map(service => [service, regionSizes(instances.filter(instance => instance.service === service), hosts)]));
		// An instance that takes three times as long has a third of the room.
		const rated = instances.map(instance => ({...instance, slots: instance.slots / this.#slow.slownessOf(instance.id, nowMs)}));
		const pools = services.flatMap(service => this.#poolsOf(service, rated, nowMs));
		const rate = pools.flatMap(pool => pool.objects).reduce((sum, object) => sum + object.demand.rate(nowMs), 0);
		this.#shifts.advance(rate, nowMs);
		this.#capacity.judge(pools.flatMap(({picture}) => picture.own
			.filter(instance => picture.busyShare(instance) < busyShare)
			.map(instance => ({id: instance.id, service: instance.service, objects: picture.objectsAt(instance)}))), nowMs);
		for (const pool of pools) {
			this.#place(pool, nowMs);
			if (!this.#isLearning(nowMs)) {
				this.#exchange(pool, nowMs);
				this.#level(pool, nowMs);
			}

			this.#account(pool, nowMs);
		}
	}

	/** Instance of an object; empty when it has none. */
	instanceOf(id: string): string {
		return this.#assignments.get(id)?.instanceId ?? '';
	}

	/** Notes whether an instance was still warm for an object; a run that may have begun before the object's first run there ended says nothing. */
	#countRun([service, route, priority, objectKey, runMs]: PlacementReport['runs'][number], nowMs: number): void {
		const object = this.#assignments.get(objectId(service, priority, objectKey));
		if (object === undefined) {
			return;
		}

		if (object.ranThereMs < nowMs - runMs - reportDelayMs && !this.#slow.isSlow(object.instanceId, nowMs)) {
			this.#capacity.count(object.instanceId, runMs > coldFrom * this.#times.get(`${service}|${route}`), nowMs);
		}

		object.ranThereMs = Math.min(object.ranThereMs, nowMs);
	}

	#isLearning(nowMs: number): boolean {
		return nowMs - this.#startMs < learningMs;
	}

	/** Slots that an object's requests keep busy. */
	#demand(object: PlannedObject, nowMs: number): number {
		return object.demand.slots(this.#times, nowMs);
	}

	#totalDemand(objects: readonly PlannedObject[], nowMs: number): number {
		return objects.reduce((sum, object) => sum + this.#demand(object, nowMs), 0);
	}

	/** Objects that need most first. */
	#byDemand(objects: readonly PlannedObject[], nowMs: number): PlannedObject[] {
		return objects.toSorted((a, b) => this.#demand(b, nowMs) - this.#demand(a, nowMs));
	}

	/** Divides a service's instances: a few for the most urgent requests, so that they wait behind nothing long. */
	#poolsOf(service: string, all: readonly PlanInstance[], nowMs: number): Pool[] {
		const instances = all.filter(instance => instance.service === service);
		const own = instances.filter(instance => instance.region === this.#region);
		const away = instances.filter(instance => instance.region !== this.#region);
		const objects = this.#assignments.ofService(service);
		const asked = objects.filter(object => this.#demand(object, nowMs) > leastDemand);
		const seen = this.#isLearning(nowMs) || asked.length === 0 ? this.#priorities.get(service) ?? [] : asked.map(object => object.priority);
		const urgent = Math.min(...seen);
		const isMixed = seen.some(priority => priority > urgent);
		if (asked.length > 0) {
			this.#reserve.noteAsked(service, nowMs);
		}

		const isShared = own.length < 2 && !(away.length > 0 && this.#isCrowded(own, asked, nowMs));
		const reserved = isMixed && !isShared ? this.#reserve.choose(this.#needsOf(own, asked, urgent, nowMs), nowMs) : [];
		if (reserved.length === 0) {
			this.#reserve.release(service);
		}

		const rest = [...own.filter(instance => !reserved.includes(instance)), ...away.filter(instance => !this.#regionLoads.isReserved(instance))];
		if (reserved.length === 0) {
			return [this.#pool(`${service}|rest`, rest, objects, nowMs)];
		}

		this.#reservations.push([service, urgent, reserved.map(instance => instance.id)]);
		const first = [...reserved, ...away.filter(instance => this.#regionLoads.isReserved(instance))];
		return [
			this.#pool(`${service}|rest`, rest, objects.filter(object => object.priority !== urgent), nowMs),
			this.#pool(`${service}|urgent`, first, objects.filter(object => object.priority === urgent), nowMs),
		];
	}

	/** Whether an instance that is the only one of the region is too busy to serve requests of all priorities. */
	#isCrowded([only]: readonly PlanInstance[], objects: readonly PlannedObject[], nowMs: number): boolean {
		return only !== undefined && this.#totalDemand(objects, nowMs) / only.slots > (this.#reserve.has(only.service, only.id) ? returnShare : leaveShare);
	}

	/** What decides how many of a service's own instances are kept for the requests of the most urgent priority. */
	#needsOf(own: readonly PlanInstance[], asked: readonly PlannedObject[], urgent: number, nowMs: number) {
		const {service} = own[0]!;
		const urgentObjects = asked.filter(object => object.priority === urgent);
		return {
			service,
			own,
			urgentDemand: this.#totalDemand(urgentObjects, nowMs),
			totalDemand: this.#totalDemand(asked, nowMs),
			urgentObjects: urgentObjects.length,
			kept: this.#capacity.keptBy(service),
			isSlow: (id: string) => this.#slow.isSlow(id, nowMs),
		};
	}

	#pool(name: string, instances: readonly PlanInstance[], objects: readonly PlannedObject[], nowMs: number): Pool {
		const picture = new PoolPicture({
			name, instances, region: this.#region, busyOf: id => this.#regionLoads.usesOf(id, nowMs), kept: this.#capacity.keptBy(instances[0]?.service ?? ''),
		});
		for (const object of objects) {
			picture.add(object.instanceId, this.#demand(object, nowMs));
		}

		return {picture, objects};
	}

	/**
	 * Gives every object an instance that takes work, first the ones that need most. Objects whose instance was lost go to another
	 * region at once if this one is busy: the cap on shifts is meant for times without losses.
	 */
	#place(pool: Pool, nowMs: number): void {
		const {picture, objects} = pool;
		const homeless = objects.filter(object => picture.get(object.instanceId) === undefined);
		for (const object of this.#byDemand(homeless, nowMs)) {
			const isKept = this.#present.has(object.instanceId);
			if (isKept && !picture.own.some(instance => mayRunIn(object, instance.region))) {
				this.#sendAway(picture, object, this.#foreignTarget(pool, object, nowMs), nowMs);
				continue;
			}

			const here = this.#startInstance(picture, object);
			if (here === undefined) {
				continue;
			}

			const wasLost = object.instanceId !== '' && !isKept;
			const away = wasLost && picture.share(here) > busyShare ? this.#foreignTarget(pool, object, nowMs) : undefined;
			const isAwayBetter = away !== undefined && picture.share(away) + marginShare < picture.share(here);
			this.#move(picture, object, isAwayBetter ? away : here, nowMs);
		}
	}

	/** The instance at which an object starts: the first in its own order, unless that is much busier than the least busy one. */
	#startInstance(picture: PoolPicture, object: PlannedObject): PlanInstance | undefined {
		const allowed = picture.instances.filter(instance => mayRunIn(object, instance.region));
		const start = this.#startRegion(object);
		const near = firstFilled(allowed.filter(instance => instance.region === start), allowed.filter(instance => instance.region === this.#region), allowed);
		return warmest(picture, near, object);
	}

	/** The region in which an object starts; the own one for the most urgent requests. */
	#startRegion({service, priority, objectKey}: PlannedObject): string {
		const isUrgent = isMostUrgent(priority, this.#priorities.get(service) ?? []);
		return isUrgent ? this.#region : startRegion(objectKey, this.#region, this.#sizes.get(service) ?? []);
	}

	/** Moves an object to another region; until the cap on shifts allows it, the object stays. */
	#sendAway(picture: PoolPicture, object: PlannedObject, to: PlanInstance | undefined, nowMs: number): void {
		if (to !== undefined && this.#shifts.isLeft) {
			this.#shifts.spend(object.demand.rate(nowMs));
			this.#move(picture, object, to, nowMs);
		}
	}

	/** Moves objects between this region and others while this one is busy, or back while it is not. */
	#exchange(pool: Pool, nowMs: number): void {
		const {picture} = pool;
		if (picture.own.length === 0) {
			return;
		}

		if (picture.ownShare < returnShare) {
			this.#bringBack(pool, nowMs);
		}

		while (picture.ownShare > leaveShare && this.#shifts.isLeft) {
			const object = this.#pick(pool, picture.busiestOwn()!, nowMs);
			const to = object === undefined ? undefined : this.#foreignTarget(pool, object, nowMs);
			if (object === undefined || to === undefined) {
				return;
			}

			this.#sendAway(picture, object, to, nowMs);
		}
	}

	#bringBack({picture, objects}: Pool, nowMs: number): void {
		const away = objects.filter(object => {
			const instance = picture.get(object.instanceId);
			return instance !== undefined && instance.region !== this.#region && nowMs - object.movedMs > settleMs;
		});
		for (const object of away) {
			if (picture.ownShare >= returnShare) {
				return;
			}

			this.#sendAway(picture, object, picture.leastBusy(picture.own), nowMs);
		}
	}

	/** The instance for an object in the other regions that still offer room, where the other region's requests for it run too. */
	#foreignTarget({picture, objects}: Pool, object: PlannedObject, nowMs: number): PlanInstance | undefined {
		const used = new Map<string, number>();
		for (const other of objects) {
			const region = picture.get(other.instanceId)?.region ?? '';
			used.set(region, (used.get(region) ?? 0) + this.#demand(other, nowMs));
		}

		const open = picture.instances.filter(({region}) =>
			region !== this.#region && mayRunIn(object, region) && (used.get(region) ?? 0) < this.#regionLoads.offerOf(region, picture.name, nowMs));
		const least = picture.leastBusy(open);
		return warmest(picture, open.filter(instance => instance.region === least?.region), object);
	}

	/** An object to take from a busy instance to another region: the largest that has stayed there long enough. */
	#pick({picture, objects}: Pool, from: PlanInstance, nowMs: number): PlannedObject | undefined {
		const away = picture.instances.filter(instance => instance.region !== from.region);
		const there = objects.filter(object => object.instanceId === from.id && nowMs - object.movedMs > settleMs && this.#demand(object, nowMs) > 0
			&& away.some(instance => mayRunIn(object, instance.region)));
		return this.#byDemand(there, nowMs)[0];
	}

	/** Moves objects from the busiest instances of the region to the least busy ones. */
	#level({picture, objects}: Pool, nowMs: number): void {
		for (let moves = 0; moves < movesPerTick && picture.own.length > 1; moves++) {
			const from = picture.busiestOwn()!;
			const to = picture.leastBusy(picture.own)!;
			const gap = picture.share(from) - picture.share(to);
			const isOverloaded = picture.share(from) > overloadShare;
			if (picture.share(from) < busyShare || gap < marginShare || (moves >= usualMovesPerTick && !isOverloaded)) {
				return;
			}

			const stayMs = isOverloaded ? overloadSettleMs : settleMs;
			const room = gap * to.slots / 2;
			const fitting = objects.filter(item =>
				item.instanceId === from.id && nowMs - item.movedMs > stayMs && this.#demand(item, nowMs) > 0 && this.#demand(item, nowMs) <= room);
			const [object] = this.#byDemand(fitting, nowMs);
			if (object === undefined) {
				return;
			}

			this.#move(picture, object, to, nowMs);
		}
	}

	#move(picture: PoolPicture, object: PlannedObject, to: PlanInstance, nowMs: number): void {
		const demand = this.#demand(object, nowMs);
		if (picture.get(object.instanceId) !== undefined) {
			picture.remove(object.instanceId, demand);
			object.movedMs = nowMs;
		}

		picture.add(to.id, demand);
		this.#assignments.assign(object, to.id);
	}

	/** Notes what other regions may use here, and what this region uses anywhere. */
	#account({picture, objects}: Pool, nowMs: number): void {
		for (const object of objects) {
			const instance = picture.get(object.instanceId);
			if (instance !== undefined) {
				this.#uses.set(instance.id, (this.#uses.get(instance.id) ?? 0) + this.#demand(object, nowMs));
			}
		}

		if (picture.own.length === 0) {
			this.#pools.push([picture.name, 0, this.#totalDemand(objects, nowMs)]);
			return;
		}

		this.#pools.push([picture.name, picture.ownSlots, picture.ownBusy]);
		const foreign = picture.own.reduce((sum, instance) => sum + this.#regionLoads.usesOf(instance.id, nowMs), 0);
		const spare = Math.max(0, (offeredShare * picture.ownSlots) - picture.ownBusy + foreign);
		for (const [region, slots] of this.#regionLoads.divide(picture.name, spare, picture.ownShare, nowMs)) {
			this.#offers.push([picture.name, region, slots]);
		}
	}
}

/** Slots to a hundredth, as other regions are told. */
function round(slots: number): number {
	return Math.round(slots * 100) / 100;
}

/** The first of the lists that holds anything. */
function firstFilled(...lists: ReadonlyArray<readonly PlanInstance[]>): readonly PlanInstance[] {
	return lists.find(list => list.length > 0) ?? [];
}

/** The first of the instances in an object's own order, unless that is much busier than the least busy one. */
function warmest(picture: PoolPicture, instances: readonly PlanInstance[], {objectKey}: PlannedObject): PlanInstance | undefined {
	const [first] = rendezvousOrder(objectKey, instances, instance => instance.id);
	const least = picture.leastBusy(instances);
	if (first === undefined || least === undefined) {
		return undefined;
	}

	return picture.share(first) <= picture.share(least) + marginShare ? first : least;
}

function mayRunIn(object: PlannedObject, region: string): boolean {
	return object.allowedRegions.length === 0 || object.allowedRegions.includes(region);
}

import {type PlacementReport} from '../contracts/placement-report.js';
import {type PlacementUpdate} from '../contracts/placement-update.js';
import {type RegionLoad} from '../contracts/region-load.js';
import {isMostUrgent} from './is-most-urgent.js';
import {objectId} from './object-id.js';
import {regionSizes} from './region-sizes.js';
import {rendezvousOrder} from './rendezvous-order.js';
import {startRegion} from './start-region.js';
import {urgentOrder} from './urgent-order.js';

/** An instance that takes work. */
type PlanInstance = {readonly id: string; readonly service: string; readonly region: string; readonly slots: number};

type PlannedObject = {
	readonly id: string;
	readonly service: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly objectKey: string;
	allowedRegions: readonly string[];
	/** Requests by route, decaying with the memory's time constant. */
	readonly counts: Map<string, number>;
	readonly sinceMs: number;
	updatedMs: number;
	instanceId: string;
	/** Version of the plan in which the instance was last changed. */
	version: number;
	movedMs: number;
};

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

/** Another region's word, as far as it concerns this one. */
type Word = {
	/** Slots offered here, by pool. */
	readonly offers: ReadonlyMap<string, number>;
	/** Slots kept busy here, by instance. */
	readonly uses: ReadonlyMap<string, number>;
	/** Busy share of the region, by pool. */
	readonly busy: ReadonlyMap<string, number>;
	/** Instances for the most urgent requests only. */
	readonly reserved: ReadonlySet<string>;
	readonly heardMs: number;
};

/** Instances that serve the same objects: those for the most urgent requests of a service, or the rest. */
type Pool = {readonly name: string; readonly instances: readonly PlanInstance[]; readonly objects: readonly PlannedObject[]};

/** One pool as it stands at a tick. */
type PoolPicture = {
	readonly name: string;
	readonly instances: readonly PlanInstance[];
	readonly byId: ReadonlyMap<string, PlanInstance>;
	/** Busy slots by instance. */
	readonly load: Map<string, number>;
	readonly objects: readonly PlannedObject[];
};

/** Time constant of the request rates, in milliseconds. */
const memoryMs = 4000;
/** Time over which the first requests for an object are spread, in milliseconds. */
const shortestSpanMs = 2000;
/** Time after which an object that nobody asks for is forgotten, in milliseconds. */
const forgetMs = 60_000;
/** Count below which a route's requests for an object are forgotten. */
const leastCount = 0.01;
/** First guess of a request's time at an instance, in milliseconds. */
const initialMs = 150;
/** Weights of a new time: the estimate leans to the short times, which are those of warm instances. */
const shorterWeight = 0.2;
const longerWeight = 0.05;
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
/** Slots below which an object's requests count for nothing when instances are divided. */
const leastDemand = 0.001;
/** Busy share of the instances for the most urgent requests above which there are more of them, and below which fewer. */
const reserveBusyShare = 0.45;
const reserveIdleShare = 0.25;
/** Busy share of the region above which objects leave it, and below which they come back. */
const leaveShare = 0.6;
const returnShare = 0.4;
/** Share of the region's slots that are offered to other regions when they are free. */
const offeredShare = 0.8;
/** Share of the region's work that may change its region in a second; with what may change at once, below the usual 0.15 in two. */
const shiftPerSecond = 0.045;
/** Share of the region's work that may change its region at once. */
const shiftAtOnce = 0.04;
/** Time for which another region's word holds, in milliseconds. */
const wordMs = 4000;

/**
 * Plans which instance serves which object of the requests that enter in one region. Objects stay where they are warm;
 * they move from busy instances to less busy ones, a few at a time, and to other regions only within what those
 * offer and under the cap on shifts between regions. Answers moderate loads: the plan does not refuse anything.
 */
export class PlacementPlan {
	readonly #options: PlanOptions;
	readonly #objects = new Map<string, PlannedObject>();
	readonly #routeMs = new Map<string, number>();
	readonly #regions = new Map<string, Word>();
	readonly #withdrawn = new Map<string, number>();
	#version: number;
	/** Version of the assignments that were known at the start or taken over since. */
	#adoptedVersion: number;
	readonly #startMs: number;
	#lastTickMs: number | undefined;
	#shiftCredit = 0;
	#offers: Array<[string, string, number]> = [];
	#pools: Array<[string, number, number]> = [];
	#reserved: ReadonlySet<string> = new Set();
	#reservations: PlacementUpdate['reserved'] = [];
	/** Instances that take work. */
	#present: ReadonlySet<string> = new Set();
	#priorities: Priorities = new Map();
	/** Slots and hosts of each region, by service. */
	#sizes: ReadonlyMap<string, ReturnType<typeof regionSizes>> = new Map();
	#uses = new Map<string, number>();

	/** `version` has to exceed that of any earlier plan of the region; `known` are the assignments to begin with. */
	constructor(options: PlanOptions, version: number, known: ReadonlyMap<string, string>, nowMs: number) {
		this.#options = options;
		this.#version = version;
		this.#adoptedVersion = version;
		this.#startMs = nowMs;
		for (const [id, instanceId] of known) {
			this.#addKnown(id, nowMs).instanceId = instanceId;
		}
	}

	/** Takes in what a host saw; answers the assignments that it lacks. */
	report(report: PlacementReport, nowMs: number): PlacementUpdate {
		if (report.haveVersion > this.#adoptedVersion && nowMs - this.#startMs < learningMs) {
			this.#adopt(report, nowMs);
		}

		for (const [service, route, shortestMs] of report.routes) {
			this.#learn(`${service}|${route}`, shortestMs);
		}

		for (const [service, route, priority, objectKey, requests, allowedRegions] of report.objects) {
			const object = this.#objects.get(objectId(service, priority, objectKey)) ?? this.#add(service, priority, objectKey, nowMs);
			decay(object, nowMs);
			const key = `${service}|${route}`;
			object.counts.set(key, (object.counts.get(key) ?? 0) + requests);
			object.updatedMs = nowMs;
			object.allowedRegions = allowedRegions.length > 0 ? allowedRegions : object.allowedRegions;
		}

		// Versions of different planners say nothing about each other.
		return this.#updateSince(report.known.length > 0 ? 0 : report.haveVersion);
	}

	/** Takes in another region's offers and uses. */
	hear(load: RegionLoad, nowMs: number): void {
		for (const [route, timeMs] of load.times) {
			this.#learn(route, timeMs);
		}

		this.#regions.set(load.region, {
			offers: new Map(load.offers.filter(([, region]) => region === this.#options.region).map(([pool, , slots]) => [pool, slots])),
			uses: new Map(load.uses),
			busy: new Map(load.pools.map(([pool, slots, busy]) => [pool, slots > 0 ? busy / slots : Math.min(1, busy)])),
			reserved: new Set(load.reserved),
			heardMs: nowMs,
		});
	}

	/** What to tell the other regions' planners. */
	regionLoad(): RegionLoad {
		return {
			region: this.#options.region,
			pools: this.#pools,
			reserved: [...this.#reserved],
			offers: this.#offers,
			uses: [...this.#uses].map(([id, slots]) => [id, round(slots)]),
			times: [...this.#routeMs],
		};
	}

	/** Adapts the plan to the instances that take work now. */
	tick({instances, priorities, hosts}: Surroundings, nowMs: number): void {
		const elapsedMs = Math.min(1000, nowMs - (this.#lastTickMs ?? nowMs));
		this.#lastTickMs = nowMs;
		this.#forget(nowMs);
		this.#offers = [];
		this.#pools = [];
		this.#uses = new Map();
		this.#present = new Set(instances.map(instance => instance.id));
		this.#priorities = priorities;
		this.#sizes = new Map(instances.map(({service}) => [service, regionSizes(instances.filter(instance => instance.service === service), hosts)]));
		const services = new Set(instances.map(instance => instance.service));
		this.#reservations = [];
		const pools = [...services].flatMap(service => this.#poolsOf(service, instances, priorities.get(service) ?? [], nowMs));
		const pictures = pools.map(pool => this.#picture(pool, nowMs));
		const demand = pictures.flatMap(picture => picture.objects).reduce((sum, object) => sum + this.#rate(object, nowMs), 0);
		this.#shiftCredit = Math.min(shiftAtOnce * demand, this.#shiftCredit + (shiftPerSecond * demand * elapsedMs / 1000));
		for (const picture of pictures) {
			this.#place(picture, nowMs);
			if (nowMs - this.#startMs >= learningMs) {
				this.#exchange(picture, nowMs);
				this.#level(picture, nowMs);
			}

			this.#account(picture, nowMs);
		}
	}

	/** Instance of an object; empty when it has none. */
	instanceOf(id: string): string {
		return this.#objects.get(id)?.instanceId ?? '';
	}

	#add(service: string, priority: number, objectKey: string, nowMs: number): PlannedObject {
		const id = objectId(service, priority, objectKey);
		const object: PlannedObject = {
			id,
			service,
			priority,
			objectKey,
			allowedRegions: [],
			counts: new Map(),
			sinceMs: nowMs,
			updatedMs: nowMs,
			instanceId: '',
			version: this.#version,
			movedMs: Number.NEGATIVE_INFINITY,
		};
		this.#objects.set(id, object);
		this.#withdrawn.delete(id);
		return object;
	}

	#addKnown(id: string, nowMs: number): PlannedObject {
		const [service, priority, ...rest] = id.split('|');
		return this.#add(service!, Number(priority), rest.join('|'), nowMs);
	}

	/** Goes on from an earlier planner's assignments, of which this one knew less: objects are warm there. */
	#adopt({known, haveVersion}: PlacementReport, nowMs: number): void {
		this.#adoptedVersion = known.length > 0 ? haveVersion : this.#adoptedVersion;
		for (const [id, instanceId] of known) {
			const object = this.#objects.get(id) ?? this.#addKnown(id, nowMs);
			if (object.instanceId !== instanceId) {
				this.#version++;
				object.instanceId = instanceId;
				object.version = this.#version;
			}
		}
	}

	#learn(route: string, timeMs: number): void {
		const beforeMs = this.#routeMs.get(route) ?? timeMs;
		const weight = timeMs < beforeMs ? shorterWeight : longerWeight;
		this.#routeMs.set(route, beforeMs + (weight * (timeMs - beforeMs)));
	}

	#updateSince(haveVersion: number): PlacementUpdate {
		// A higher version is another planner's, of which nothing is known here.
		const version = haveVersion > this.#version ? 0 : haveVersion;
		const changed = [...this.#objects.values()].filter(object => object.version > version && object.instanceId !== '');
		const withdrawn = [...this.#withdrawn].filter(([, withdrawnVersion]) => withdrawnVersion > version);
		return {
			version: this.#version,
			reserved: this.#reservations,
			entries: [...changed.map((object): [string, string] => [object.id, object.instanceId]), ...withdrawn.map(([id]): [string, string] => [id, ''])],
		};
	}

	#forget(nowMs: number): void {
		for (const object of this.#objects.values()) {
			if (nowMs - object.updatedMs > forgetMs) {
				this.#version++;
				this.#objects.delete(object.id);
				this.#withdrawn.set(object.id, this.#version);
			}
		}
	}

	/** Requests a second for an object. */
	#rate(object: PlannedObject, nowMs: number): number {
		decay(object, nowMs);
		const spanMs = memoryMs * (1 - Math.exp(-Math.max(shortestSpanMs, nowMs - object.sinceMs) / memoryMs));
		return sumOf(object.counts) * 1000 / spanMs;
	}

	/** Slots that an object's requests keep busy. */
	#demand(object: PlannedObject, nowMs: number): number {
		const total = sumOf(object.counts);
		let weighedMs = 0;
		for (const [route, count] of object.counts) {
			weighedMs += count * (this.#routeMs.get(route) ?? initialMs);
		}

		return total === 0 ? 0 : this.#rate(object, nowMs) * weighedMs / total / 1000;
	}

	/** Objects that need most first. */
	#byDemand(objects: readonly PlannedObject[], nowMs: number): PlannedObject[] {
		return objects.toSorted((a, b) => this.#demand(b, nowMs) - this.#demand(a, nowMs));
	}

	/** Instances of this region. */
	#ownOf(instances: readonly PlanInstance[]): PlanInstance[] {
		return instances.filter(instance => instance.region === this.#options.region);
	}

	/** Divides a service's instances: a few for the most urgent requests, so that they wait behind nothing long. */
	#poolsOf(service: string, all: readonly PlanInstance[], routed: readonly number[], nowMs: number): Pool[] {
		const instances = all.filter(instance => instance.service === service);
		const objects = [...this.#objects.values()].filter(object => object.service === service);
		const own = this.#ownOf(instances);
		const asked = objects.filter(object => this.#demand(object, nowMs) > leastDemand);
		const isLearning = nowMs - this.#startMs < learningMs || asked.length === 0;
		const seen = isLearning ? routed : asked.map(object => object.priority);
		const urgent = Math.min(...seen);
		const isMixed = seen.some(priority => priority > urgent);
		const away = instances.filter(instance => instance.region !== this.#options.region);
		const isShared = own.length < 2 && !(away.length > 0 && this.#isCrowded(own, asked, nowMs));
		const reserved = isMixed && !isShared ? this.#reserve(service, own, asked.filter(object => object.priority === urgent), nowMs) : [];
		const reservedIds = new Set(reserved.map(instance => instance.id));
		if (reserved.length > 0) {
			this.#reservations.push([service, urgent, [...reservedIds]]);
		}

		const others = [...this.#reserved].filter(id => !instances.some(instance => instance.id === id));
		this.#reserved = new Set([...others, ...reservedIds]);
		const isReservedAway = (instance: PlanInstance) => this.#regions.get(instance.region)?.reserved.has(instance.id) === true;
		const rest: Pool = {
			name: `${service}|rest`,
			instances: [...own.filter(instance => !reservedIds.has(instance.id)), ...away.filter(instance => !isReservedAway(instance))],
			objects: reserved.length === 0 ? objects : objects.filter(object => object.priority !== urgent),
		};
		const first: Pool = {
			name: `${service}|urgent`,
			instances: [...reserved, ...away.filter(instance => isReservedAway(instance))],
			objects: objects.filter(object => object.priority === urgent),
		};
		return reserved.length === 0 ? [rest] : [rest, first];
	}

	/** Whether an instance that is the only one of the region is too busy to serve requests of all priorities. */
	#isCrowded([only]: readonly PlanInstance[], objects: readonly PlannedObject[], nowMs: number): boolean {
		if (only === undefined) {
			return false;
		}

		const demand = objects.reduce((sum, object) => sum + this.#demand(object, nowMs), 0);
		return demand / only.slots > (this.#reserved.has(only.id) ? returnShare : leaveShare);
	}

	/** Chooses the instances for the most urgent requests; the number follows their load slowly. */
	#reserve(service: string, own: readonly PlanInstance[], objects: readonly PlannedObject[], nowMs: number): readonly PlanInstance[] {
		const slots = own.reduce((sum, instance) => sum + instance.slots, 0) / own.length;
		const demand = objects.reduce((sum, object) => sum + this.#demand(object, nowMs), 0);
		const current = own.filter(instance => this.#reserved.has(instance.id)).length;
		const least = Math.ceil(demand / (reserveBusyShare * slots));
		const most = Math.ceil(demand / (reserveIdleShare * slots));
		const count = Math.max(1, Math.min(own.length - 1, Math.max(least, Math.min(most, current))));
		return urgentOrder(service, own, instance => instance.id).slice(0, count);
	}

	#picture({name, instances, objects}: Pool, nowMs: number): PoolPicture {
		const byId = new Map(instances.map(instance => [instance.id, instance]));
		const load = new Map(instances.map(instance => [instance.id, this.#foreignUse(instance.id, nowMs)]));
		for (const object of objects) {
			if (byId.has(object.instanceId)) {
				load.set(object.instanceId, load.get(object.instanceId)! + this.#demand(object, nowMs));
			}
		}

		return {
			name, instances, byId, load, objects,
		};
	}

	#foreignUse(instanceId: string, nowMs: number): number {
		let sum = 0;
		for (const word of this.#regions.values()) {
			sum += nowMs - word.heardMs < wordMs ? word.uses.get(instanceId) ?? 0 : 0;
		}

		return sum;
	}

	/**
	 * Gives every object an instance that takes work, first the ones that need most. Objects whose instance was lost go to another
	 * region at once if this one is busy: the cap on shifts is meant for times without losses.
	 */
	#place(picture: PoolPicture, nowMs: number): void {
		const homeless = picture.objects.filter(object => !picture.byId.has(object.instanceId));
		for (const object of this.#byDemand(homeless, nowMs)) {
			const allowed = picture.instances.filter(instance => mayRunIn(object, instance.region));
			const away = this.#foreignTarget(picture, object, nowMs);
			if (this.#present.has(object.instanceId) && this.#ownOf(allowed).length === 0) {
				this.#sendAway(picture, object, away, nowMs);
				continue;
			}

			const start = this.#startOf(object);
			const near = firstFilled(allowed.filter(instance => instance.region === start), this.#ownOf(allowed), allowed);
			const [first] = rendezvousOrder(object.objectKey, near, instance => instance.id);
			const least = leastBusy(picture, near);
			if (first === undefined || least === undefined) {
				continue;
			}

			const isFirstFine = share(picture, first) <= share(picture, least) + marginShare;
			const here = isFirstFine ? first : least;
			const mayLeave = object.instanceId !== '' && !this.#present.has(object.instanceId) && away !== undefined && allowed.includes(away) && share(picture, here) > busyShare;
			const isAwayBetter = mayLeave && share(picture, away) + marginShare < share(picture, here);
			this.#move(picture, object, isAwayBetter ? away : here, nowMs);
		}
	}

	/** The region in which an object starts; the own one for the most urgent requests. */
	#startOf({service, priority, objectKey}: PlannedObject): string {
		const isUrgent = isMostUrgent(priority, this.#priorities.get(service) ?? []);
		return isUrgent ? this.#options.region : startRegion(objectKey, this.#options.region, this.#sizes.get(service) ?? []);
	}

	/** Moves an object, whose instance here is kept for others now, to another region; until the cap on shifts allows it, the object stays. */
	#sendAway(picture: PoolPicture, object: PlannedObject, to: PlanInstance | undefined, nowMs: number): void {
		if (to !== undefined && this.#shiftCredit > 0) {
			this.#shiftCredit -= this.#rate(object, nowMs);
			this.#move(picture, object, to, nowMs);
		}
	}

	/** Moves objects between this region and others while this one is busy, or back while it is not. */
	#exchange(picture: PoolPicture, nowMs: number): void {
		const own = this.#ownOf(picture.instances);
		if (own.length === 0) {
			return;
		}

		const slots = own.reduce((sum, instance) => sum + instance.slots, 0);
		const busy = () => own.reduce((sum, instance) => sum + picture.load.get(instance.id)!, 0) / slots;
		if (busy() < returnShare) {
			this.#bringBack(picture, own, busy, nowMs);
		}

		while (busy() > leaveShare && this.#shiftCredit > 0) {
			const from = own.toSorted((a, b) => share(picture, b) - share(picture, a))[0]!;
			const object = this.#pick(picture, from, nowMs);
			const to = object === undefined ? undefined : this.#foreignTarget(picture, object, nowMs);
			if (object === undefined || to === undefined) {
				return;
			}

			this.#sendAway(picture, object, to, nowMs);
		}
	}

	#bringBack(picture: PoolPicture, own: readonly PlanInstance[], busy: () => number, nowMs: number): void {
		const away = picture.objects.filter(object => {
			const region = picture.byId.get(object.instanceId)?.region;
			return region !== undefined && region !== this.#options.region && nowMs - object.movedMs > settleMs;
		});
		for (const object of away) {
			if (this.#shiftCredit <= 0 || busy() >= returnShare) {
				return;
			}

			this.#shiftCredit -= this.#rate(object, nowMs);
			this.#move(picture, object, leastBusy(picture, own)!, nowMs);
		}
	}

	/**
	 * The instance for an object in the other regions that still offer room: the first in the object's own order, where the
	 * other region's requests for it run too, unless that is much busier than the least busy one.
	 */
	#foreignTarget(picture: PoolPicture, object: PlannedObject, nowMs: number): PlanInstance | undefined {
		const used = new Map<string, number>();
		for (const other of picture.objects) {
			const region = picture.byId.get(other.instanceId)?.region;
			if (region !== undefined) {
				used.set(region, (used.get(region) ?? 0) + this.#demand(other, nowMs));
			}
		}

		const open = picture.instances.filter(({region}) => {
			const word = this.#regions.get(region);
			return mayRunIn(object, region) && region !== this.#options.region && word !== undefined && nowMs - word.heardMs < wordMs && (used.get(region) ?? 0) < (word.offers.get(picture.name) ?? 0);
		});
		const least = leastBusy(picture, open);
		const [first] = rendezvousOrder(object.objectKey, open.filter(instance => instance.region === least?.region), instance => instance.id);
		return first !== undefined && share(picture, first) <= share(picture, least!) + marginShare ? first : least;
	}

	/** An object to take from a busy instance to another region: the largest that has stayed there long enough. */
	#pick(picture: PoolPicture, from: PlanInstance, nowMs: number): PlannedObject | undefined {
		const away = picture.instances.filter(instance => instance.region !== from.region);
		const there = picture.objects.filter(object => object.instanceId === from.id && nowMs - object.movedMs > settleMs && this.#demand(object, nowMs) > 0
			&& away.some(instance => mayRunIn(object, instance.region)));
		return this.#byDemand(there, nowMs)[0];
	}

	/** Moves objects from the busiest instances of the region to the least busy ones. */
	#level(picture: PoolPicture, nowMs: number): void {
		const own = this.#ownOf(picture.instances);
		for (let moves = 0; moves < movesPerTick && own.length > 1; moves++) {
			const from = own.toSorted((a, b) => share(picture, b) - share(picture, a))[0]!;
			const to = leastBusy(picture, own)!;
			const gap = share(picture, from) - share(picture, to);
			const isOverloaded = share(picture, from) > overloadShare;
			if (share(picture, from) < busyShare || gap < marginShare || (moves >= usualMovesPerTick && !isOverloaded)) {
				return;
			}

			const stayMs = isOverloaded ? overloadSettleMs : settleMs;
			const room = gap * to.slots / 2;
			const fitting = picture.objects.filter(item =>
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
		const before = picture.load.get(object.instanceId);
		if (before !== undefined) {
			picture.load.set(object.instanceId, before - demand);
			object.movedMs = nowMs;
		}

		picture.load.set(to.id, picture.load.get(to.id)! + demand);
		this.#version++;
		object.instanceId = to.id;
		object.version = this.#version;
	}

	/** Notes what other regions may use here, and what this region uses anywhere. */
	#account(picture: PoolPicture, nowMs: number): void {
		const own = this.#ownOf(picture.instances);
		const slots = own.reduce((sum, instance) => sum + instance.slots, 0);
		for (const object of picture.objects) {
			const instance = picture.byId.get(object.instanceId);
			if (instance !== undefined) {
				this.#uses.set(instance.id, (this.#uses.get(instance.id) ?? 0) + this.#demand(object, nowMs));
			}
		}

		if (own.length === 0) {
			this.#pools.push([picture.name, 0, picture.objects.reduce((sum, object) => sum + this.#demand(object, nowMs), 0)]);
		} else {
			const busy = own.reduce((sum, instance) => sum + picture.load.get(instance.id)!, 0);
			this.#pools.push([picture.name, slots, busy]);
			const foreign = own.reduce((sum, instance) => sum + this.#foreignUse(instance.id, nowMs), 0);
			this.#offer(picture.name, Math.max(0, (offeredShare * slots) - busy + foreign), busy / slots, nowMs);
		}
	}

	/** Divides the slots that are free among the regions that are busier than this one, by how much busier they are. */
	#offer(pool: string, spare: number, ownBusy: number, nowMs: number): void {
		const needs = [...this.#regions]
			.filter(([, word]) => nowMs - word.heardMs < wordMs)
			.map(([region, word]): [string, number] => [region, Math.max(0, (word.busy.get(pool) ?? 0) - ownBusy)]);
		const total = needs.reduce((sum, [, need]) => sum + need, 0);
		for (const [region, need] of needs) {
			if (need > 0) {
				this.#offers.push([pool, region, spare * need / total]);
			}
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

function mayRunIn(object: PlannedObject, region: string): boolean {
	return object.allowedRegions.length === 0 || object.allowedRegions.includes(region);
}

function decay(object: PlannedObject, nowMs: number): void {
	const factor = Math.exp(-(nowMs - object.updatedMs) / memoryMs);
	for (const [route, count] of object.counts) {
		if (count * factor < leastCount) {
			object.counts.delete(route);
		} else {
			object.counts.set(route, count * factor);
		}
	}

	object.updatedMs = object.counts.size === 0 ? object.updatedMs : nowMs;
}

function sumOf(counts: ReadonlyMap<string, number>): number {
	let sum = 0;
	for (const count of counts.values()) {
		sum += count;
	}

	return sum;
}

function share(picture: PoolPicture, instance: PlanInstance): number {
	return picture.load.get(instance.id)! / instance.slots;
}

function leastBusy(picture: PoolPicture, instances: readonly PlanInstance[]): PlanInstance | undefined {
	let best: PlanInstance | undefined;
	for (const instance of instances) {
		if (best === undefined || share(picture, instance) < share(picture, best)) {
			best = instance;
		}
	}

	return best;
}

import {type ColdAllowance} from './cold-allowance.js';
import {type InstanceTable} from './instance-table.js';
import {initialUrgentCount} from './initial-urgent-count.js';
import {isMostUrgent} from './is-most-urgent.js';
import {objectId} from './object-id.js';
import {regionSizes} from './region-sizes.js';
import {rendezvousOrder} from './rendezvous-order.js';
import {type SeededRandom} from './seeded-random.js';
import {startRegion} from './start-region.js';
import {urgentOrder} from './urgent-order.js';

type Candidate = ReturnType<InstanceTable['serving']>[number];

type PlacementOptions = {
	readonly table: InstanceTable;
	readonly cold: ColdAllowance;
	readonly random: SeededRandom;
	/** Region of this host. */
	readonly region: string;
	/** Hosts by region. */
	readonly hostsByRegion: () => ReadonlyMap<string, number>;
	/** Whether this host acts for a cold instance. */
	readonly isSponsor: (instanceId: string, region: string) => boolean;
	/** Instance to which the region's planner assigned an object, by the object's id. */
	readonly assignments: ReadonlyMap<string, string>;
	/** Priorities of the routes with affinity to a service, each once, most urgent first. */
	readonly prioritiesOf: (service: string) => readonly number[];
	/** Shortest target of the most urgent routes with affinity to a service, in milliseconds. */
	readonly urgentTargetMs: (service: string) => number;
	/** Instances that the planner keeps for the most urgent requests of a service. */
	readonly reservationOf: (service: string) => {readonly priority: number; readonly instanceIds: ReadonlySet<string>} | undefined;
};

type PlacementRequest = {
	readonly service: string;
	/** Object that the request concerns, on a route where that makes instances faster. */
	readonly objectKey: string | undefined;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly isRepeatable: boolean;
	readonly allowedRegions: readonly string[];
	/** Instances that were tried already. */
	readonly avoid: ReadonlySet<string>;
	/** Requests a second that all hosts together may send to a cold instance of the service. */
	readonly coldPerSecond: number;
	/** Time that is left for any answer, in milliseconds. */
	readonly leftMs: number;
	/** Time that a run of the route usually takes, in milliseconds. */
	readonly runMs: number;
};

/** Where a request goes now, with the wait to expect there; `busy`: it would wait too long wherever it may run. Times are in milliseconds. */
type PlacementChoice =
	| {readonly kind: 'instance'; readonly entry: Candidate; readonly waitMs: number}
	| {readonly kind: 'busy'; readonly excessMs: number}
	| {readonly kind: 'none'};

/** Wait up to which a request goes to an instance that more urgent ones need too, as a part of their target. */
const yieldPart = 0.25;

/**
 * Chooses the instance of a request. An object's requests go to the instance that the region's planner assigned; without
 * one that takes work, to the first instance in the object's own order in the region where the object starts, so that hosts
 * agree and an instance that comes or goes moves only its own objects. Another region is used then only when that one and
 * the own one have nothing.
 */
export class Placement {
	readonly #options: PlacementOptions;

	constructor(options: PlacementOptions) {
		this.#options = options;
	}

	/** The instance to send to now. A request that would still wait there when its time has passed is not sent. */
	choose(req: PlacementRequest, nowMs: number): PlacementChoice {
		const allowed = this.#options.table.serving(req.service).filter(entry =>
			!req.avoid.has(entry.instance.id) && (req.allowedRegions.length === 0 || req.allowedRegions.includes(entry.region)));
		const preferred = this.#preferred(allowed, req, nowMs);
		if (preferred === undefined) {
			return {kind: 'none'};
		}

		const waitMs = this.#waitMs(preferred, nowMs);
		const excessMs = waitMs - this.#allowedWaitMs(preferred, allowed, req);
		if (excessMs <= 0) {
			return this.#take(preferred, req, nowMs) ? {kind: 'instance', entry: preferred, waitMs} : {kind: 'none'};
		}

		const other = isMostUrgent(req.priority, this.#options.prioritiesOf(req.service)) ? this.#leastWaiting(allowed, req, nowMs) : undefined;
		return other !== undefined && this.#take(other.entry, req, nowMs) ? {kind: 'instance', ...other} : {kind: 'busy', excessMs};
	}

	/** The instance of the own region at which a request waits least, if its run ends in time there. */
	#leastWaiting(allowed: readonly Candidate[], req: PlacementRequest, nowMs: number): {readonly entry: Candidate; readonly waitMs: number} | undefined {
		const [least] = allowed
			.filter(entry => entry.region === this.#options.region && this.#isUsable(entry, req, nowMs))
			.map(entry => ({entry, waitMs: this.#waitMs(entry, nowMs)}))
			.filter(({entry, waitMs}) => waitMs <= this.#allowedWaitMs(entry, allowed, req))
			.toSorted((a, b) => a.waitMs - b.waitMs);
		return least;
	}

	/** The hosts of this region send to an instance alike; those of others are few in comparison. */
	#waitMs(entry: Candidate, nowMs: number): number {
		const {hostsByRegion, region} = this.#options;
		return entry.queue.waitMs(Math.max(1, hostsByRegion().get(region) ?? 1), nowMs);
	}

	/** Time that a request may wait at an instance, in milliseconds: as long as its run still ends in time, and little where more urgent ones would queue behind it. */
	#allowedWaitMs(entry: Candidate, allowed: readonly Candidate[], req: PlacementRequest): number {
		const untilTooLateMs = Math.max(0, req.leftMs - req.runMs);
		return this.#isNeededByUrgent(entry, allowed, req) ? Math.min(untilTooLateMs, yieldPart * this.#options.urgentTargetMs(req.service)) : untilTooLateMs;
	}

	/** Whether more urgent requests than this one are meant for the same instance. */
	#isNeededByUrgent(entry: Candidate, allowed: readonly Candidate[], req: PlacementRequest): boolean {
		const [urgent] = this.#options.prioritiesOf(req.service);
		if (urgent === undefined || req.priority <= urgent || entry.region !== this.#options.region) {
			return false;
		}

		const own = allowed.filter(other => other.region === this.#options.region);
		return own.length < 2 || !this.#fitting(own, req).includes(entry);
	}

	/** The instance that a request is meant for: the planner's, or the first in the object's order that may be used. */
	#preferred(allowed: readonly Candidate[], req: PlacementRequest, nowMs: number): Candidate | undefined {
		const assigned = req.objectKey === undefined ? undefined : this.#options.assignments.get(objectId(req.service, req.priority, req.objectKey));
		const planned = allowed.find(entry => entry.instance.id === assigned);
		if (planned !== undefined && this.#isUsable(planned, req, nowMs)) {
			return planned;
		}

		const own = allowed.filter(entry => entry.region === this.#options.region);
		const others = allowed.filter(entry => entry.region !== this.#options.region);
		const fitting = this.#fitting(own, req);
		const start = this.#startRegion(req);
		const away = others.filter(entry => entry.region === start);
		return this.#first(away, req, nowMs) ?? this.#first(fitting, req, nowMs) ?? this.#first(own, req, nowMs) ?? this.#first(others, req, nowMs);
	}

	/** The region where the object of a request starts; the own one for a request without an object and for the most urgent. */
	#startRegion({service, objectKey, priority}: PlacementRequest): string {
		const {table, region, hostsByRegion, prioritiesOf} = this.#options;
		if (objectKey === undefined || isMostUrgent(priority, prioritiesOf(service))) {
			return region;
		}

		const instances = table.serving(service).map(entry => ({region: entry.region, slots: entry.instance.slots}));
		return startRegion(objectKey, region, regionSizes(instances, hostsByRegion()));
	}

	/** Instances of the region that are meant for requests of this priority, as the planner keeps them, or will. */
	#fitting(own: readonly Candidate[], {service, priority}: PlacementRequest): Candidate[] {
		const {reservationOf, prioritiesOf} = this.#options;
		const reservation = reservationOf(service);
		if (reservation !== undefined) {
			return own.filter(entry => reservation.instanceIds.has(entry.instance.id) === (priority === reservation.priority));
		}

		const [urgent, next] = prioritiesOf(service);
		if (next === undefined || own.length < 2) {
			return [...own];
		}

		const kept = new Set(urgentOrder(service, own, entry => entry.instance.id).slice(0, initialUrgentCount(own.length)));
		return own.filter(entry => kept.has(entry) === (priority === urgent));
	}

	#first(candidates: readonly Candidate[], req: PlacementRequest, nowMs: number): Candidate | undefined {
		return this.#ordered(candidates, req.objectKey).find(entry => this.#isUsable(entry, req, nowMs));
	}

	#ordered(candidates: readonly Candidate[], objectKey: string | undefined): Candidate[] {
		return objectKey === undefined
			? this.#options.random.sample(candidates, candidates.length)
			: rendezvousOrder(objectKey, candidates, entry => entry.instance.id);
	}

	/** Whether an instance can be reached and, if it is cold, has something left of its allowance. */
	#isUsable(entry: Candidate, req: PlacementRequest, nowMs: number): boolean {
		const {table, cold, isSponsor} = this.#options;
		const state = entry.health.state(nowMs);
		if (state === 'closed' || (state === 'probe' && !req.isRepeatable)) {
			return false;
		}

		const {id} = entry.instance;
		return !table.isCold(entry, nowMs) || (isSponsor(id, entry.region) && cold.isLeft(id, req.coldPerSecond, nowMs));
	}

	/** Takes from the allowance of a cold instance. */
	#take(entry: Candidate, req: PlacementRequest, nowMs: number): boolean {
		const {table, cold} = this.#options;
		return !table.isCold(entry, nowMs) || cold.take(entry.instance.id, req.coldPerSecond, nowMs);
	}
}

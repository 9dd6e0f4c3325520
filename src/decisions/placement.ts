import {type ColdRateLimiter} from './cold-rate-limiter.js';
import {type InstanceTable} from './instance-table.js';
import {initialReservedCount} from './initial-reserved-count.js';
import {isMostUrgent} from './is-most-urgent.js';
import {objectId} from './object-id.js';
import {regionCapacities} from './region-capacities.js';
import {rendezvousFirst} from './rendezvous-first.js';
import {type SeededRandom} from './seeded-random.js';
import {scopedObjectKey} from './scoped-object-key.js';
import {initialRegion} from './initial-region.js';
import {reservationOrder} from './reservation-order.js';

type Candidate = ReturnType<InstanceTable['serving']>[number];

type PlacementOptions = {
	readonly table: InstanceTable;
	readonly coldLimiter: ColdRateLimiter;
	readonly random: SeededRandom;
	/** Region of this host. */
	readonly region: string;
	/** Number of hosts by region. */
	readonly hostsByRegion: () => ReadonlyMap<string, number>;
	/** Returns the part of the limit of a cold instance of the own region that this host may use, from 0 to 1. */
	readonly coldShare: (instanceId: string) => number;
	/** Ids of the instances to which the region's planner assigned objects, by object id. */
	readonly assignments: ReadonlyMap<string, string>;
	/** Distinct priorities of the requests on a service's routes with affinity, most urgent first. */
	readonly prioritiesOf: (service: string) => readonly number[];
	/** Shortest target time among a service's most urgent requests on routes with affinity, in milliseconds. */
	readonly urgentTargetMs: (service: string) => number;
	/** Instances that the planner reserves for the most urgent requests of a service. */
	readonly reservationOf: (service: string) => {readonly priority: number; readonly instanceIds: ReadonlySet<string>} | undefined;
};

type PlacementRequest = {
	readonly service: string;
	/**
	 * Scoped key of the object that the request concerns, on a route with affinity (where an instance is faster for objects that
	 * it served before); otherwise `undefined`.
	 */
	readonly objectKey: string | undefined;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly isRepeatable: boolean;
	readonly allowedRegions: readonly string[];
	/** Ids of the instances to which the request was already sent. */
	readonly avoid: ReadonlySet<string>;
	/** Requests per second that all hosts together may send to a cold instance of the service. */
	readonly coldPerSecond: number;
	/** Time until the deadline, in milliseconds. */
	readonly remainingMs: number;
	/** Time from now within which the route's requests should end, in milliseconds. */
	readonly targetMs: number;
	/** Usual run time of the route's requests, in milliseconds, at an instance whose machine is as fast as usual. */
	readonly runMs: number;
};

/** Instance to send a request to, with the expected wait and run there; `busy` if the wait would be `excessMs` longer than allowed; `paused` if all instances asked for a pause, with the shortest rest of one; `none` if no instance is usable. Times are in milliseconds. */
type PlacementChoice =
	| {readonly kind: 'instance'; readonly entry: Candidate; readonly waitMs: number; readonly runMs: number; readonly isCold: boolean}
	| {readonly kind: 'busy'; readonly excessMs: number}
	| {readonly kind: 'paused'; readonly pauseMs: number}
	| {readonly kind: 'none'};

/** An instance with the expected wait there, in milliseconds. */
type WaitingOption = {readonly entry: Candidate; readonly waitMs: number};

/** Maximum wait of a request at an instance that more urgent requests need too, as a share of their target time. */
const maxWaitTargetShare = 0.25;

/**
 * Chooses the instance for a request. The requests for an object are sent to the instance that the region's planner
 * assigned. If none is assigned or it cannot be used, they are sent to the first usable instance by rendezvous hashing
 * in the object's initial region. So all hosts agree, and adding or removing an instance moves only the objects of that
 * instance. Other regions are used only if neither the initial region nor the host's own region has a usable instance.
 */
export class Placement {
	readonly #options: PlacementOptions;

	constructor(options: PlacementOptions) {
		this.#options = options;
	}

	/** Returns the instance to send a request to now. A request that is not expected to end before its deadline is not sent. */
	choose(req: PlacementRequest, nowMs: number): PlacementChoice {
		const {table} = this.#options;
		const assigned = this.#assigned(req, nowMs);
		if (assigned !== undefined) {
			const waitMs = this.#waitMs(assigned, nowMs);
			if (this.#isShortWait(assigned, waitMs, req, nowMs)) {
				return this.#take(assigned, waitMs, req, nowMs);
			}
		}

		const inAllowedRegions = table.serving(req.service).filter(entry => mayRunIn(entry.region, req));
		const pauses = inAllowedRegions.map(entry => table.notices.pauseMs(entry.instance, nowMs));
		const allowed = inAllowedRegions.filter((entry, index) => pauses[index] === 0 && !req.avoid.has(entry.instance.id));
		const preferred = assigned ?? this.#preferred(allowed, req, nowMs);
		if (preferred === undefined) {
			const pauseMs = Math.min(...pauses);
			return pauses.length > 0 && pauseMs > 0 ? {kind: 'paused', pauseMs} : {kind: 'none'};
		}

		const waitMs = this.#waitMs(preferred, nowMs);
		const excessMs = this.#isShortWait(preferred, waitMs, req, nowMs) ? 0 : waitMs - this.#allowedWaitMs({entry: preferred, waitMs}, allowed, req, nowMs);
		if (excessMs <= 0) {
			return this.#take(preferred, waitMs, req, nowMs);
		}

		const other = isMostUrgent(req.priority, this.#options.prioritiesOf(req.service)) ? this.#soonestEnding(allowed, req, nowMs) : undefined;
		const choice = other === undefined ? undefined : this.#take(other.entry, other.waitMs, req, nowMs);
		return choice?.kind === 'instance' ? choice : {kind: 'busy', excessMs};
	}

	/** Returns whether a chosen instance still accepts requests, by what this host knows now. */
	isServing({instance: {id, service, address, born}}: Candidate): boolean {
		const known = this.#options.table.servingOne(id, service)?.instance;
		return known?.address === address && known.born === born;
	}

	/** Returns the instance of the own region where the request is expected to end first among those where it may wait as long as is expected. */
	#soonestEnding(allowed: readonly Candidate[], req: PlacementRequest, nowMs: number): WaitingOption | undefined {
		const [soonest] = allowed
			.filter(entry => entry.region === this.#options.region && this.#isUsable(entry, req, nowMs))
			.map(entry => ({entry, waitMs: this.#waitMs(entry, nowMs)}))
			.filter(option => option.waitMs <= this.#allowedWaitMs(option, allowed, req, nowMs))
			.map(option => ({...option, endMs: option.waitMs + this.#runMs(option.entry, option.waitMs, req, nowMs)}))
			.toSorted((a, b) => a.endMs - b.endMs);
		return soonest;
	}

	/**
	 * Estimates the wait at an instance, in milliseconds. All hosts of this region are assumed to send to it at the same
	 * rate; requests from other regions are few in comparison and ignored.
	 */
	#waitMs(entry: Candidate, nowMs: number): number {
		const {hostsByRegion, region} = this.#options;
		return entry.queue.waitMs(Math.max(1, hostsByRegion().get(region) ?? 1), nowMs);
	}

	/** Forecasts the run time of a request that starts at an instance after a wait, in milliseconds. */
	#runMs({queue}: Candidate, waitMs: number, {runMs}: PlacementRequest, nowMs: number): number {
		return runMs * queue.timeFactor(runMs, waitMs, nowMs);
	}

	/**
	 * Returns the maximum wait of a request at an instance, in milliseconds: the longest with which its run still ends before
	 * the deadline, and less where more urgent requests would queue behind it.
	 */
	#allowedWaitMs({entry, waitMs}: WaitingOption, allowed: readonly Candidate[], req: PlacementRequest, nowMs: number): number {
		const slackMs = Math.max(0, req.remainingMs - this.#runMs(entry, waitMs, req, nowMs));
		return this.#isNeededByUrgent(entry, allowed, req) ? Math.min(slackMs, maxWaitTargetShare * this.#options.urgentTargetMs(req.service)) : slackMs;
	}

	/** Returns whether a wait is allowed wherever the request is sent, which saves the search for the instances that more urgent requests need. */
	#isShortWait(entry: Candidate, waitMs: number, req: PlacementRequest, nowMs: number): boolean {
		return waitMs <= 0 || waitMs <= Math.min(req.remainingMs - this.#runMs(entry, waitMs, req, nowMs), maxWaitTargetShare * this.#options.urgentTargetMs(req.service));
	}

	/** Returns whether the instance is intended for more urgent requests than this one, too. */
	#isNeededByUrgent(entry: Candidate, allowed: readonly Candidate[], req: PlacementRequest): boolean {
		const [urgent] = this.#options.prioritiesOf(req.service);
		if (urgent === undefined || req.priority <= urgent || entry.region !== this.#options.region) {
			return false;
		}

		const local = allowed.filter(other => other.region === this.#options.region);
		return local.length < 2 || !this.#intended(local, req).includes(entry);
	}

	/** Returns the instance to which the planner assigned a request's object, if it can be used. */
	#assigned(req: PlacementRequest, nowMs: number): Candidate | undefined {
		const {table, assignments} = this.#options;
		const id = req.objectKey === undefined ? undefined : assignments.get(objectId(req.service, req.priority, req.objectKey));
		const entry = id === undefined || req.avoid.has(id) ? undefined : table.servingOne(id, req.service);
		return entry !== undefined && mayRunIn(entry.region, req) && table.notices.pauseMs(entry.instance, nowMs) === 0 && this.#isUsable(entry, req, nowMs) ? entry : undefined;
	}

	/** Returns the preferred instance for a request whose object has no usable assignment: the first usable one in the object's order. */
	#preferred(allowed: readonly Candidate[], req: PlacementRequest, nowMs: number): Candidate | undefined {
		const local = allowed.filter(entry => entry.region === this.#options.region);
		const remote = allowed.filter(entry => entry.region !== this.#options.region);
		const intended = this.#intended(local, req);
		const initial = this.#initialRegion(req);
		const inInitialRegion = remote.filter(entry => entry.region === initial);
		return this.#first(inInitialRegion, req, nowMs) ?? this.#first(intended, req, nowMs) ?? this.#first(local, req, nowMs) ?? this.#first(remote, req, nowMs);
	}

	/** Returns the initial region of the object of a request; the own region for a request without an object. */
	#initialRegion({service, objectKey, priority}: PlacementRequest): string {
		const {table, region, hostsByRegion, prioritiesOf} = this.#options;
		if (objectKey === undefined) {
			return region;
		}

		const instances = table.serving(service).map(entry => ({region: entry.region, slots: entry.instance.slots}));
		return initialRegion(scopedObjectKey.plain(objectKey), region, regionCapacities(instances, hostsByRegion()), isMostUrgent(priority, prioritiesOf(service)));
	}

	/**
	 * Returns the instances of the own region intended for requests of this priority: by the planner's reservation or, before
	 * there is one, by the rule of its initial reservation.
	 */
	#intended(local: readonly Candidate[], {service, priority}: PlacementRequest): Candidate[] {
		const {reservationOf, prioritiesOf} = this.#options;
		const reservation = reservationOf(service);
		if (reservation !== undefined) {
			return local.filter(entry => reservation.instanceIds.has(entry.instance.id) === (priority === reservation.priority));
		}

		const [urgent, next] = prioritiesOf(service);
		if (next === undefined || local.length < 2) {
			return [...local];
		}

		const reserved = new Set(reservationOrder(service, local, entry => entry.instance.id).slice(0, initialReservedCount(local.length)));
		return local.filter(entry => reserved.has(entry) === (priority === urgent));
	}

	#first(candidates: readonly Candidate[], req: PlacementRequest, nowMs: number): Candidate | undefined {
		const isUsable = (entry: Candidate) => this.#isUsable(entry, req, nowMs);
		if (req.objectKey !== undefined) {
			return rendezvousFirst(scopedObjectKey.plain(req.objectKey), candidates, entry => entry.instance.id, isUsable);
		}

		const drawn = this.#options.random.sample(candidates, candidates.length);
		const index = drawn.findIndex(entry => isUsable(entry));
		const first = drawn[index];
		return first === undefined ? undefined : this.#fasterOfTwo(first, drawn.slice(index + 1), req, nowMs);
	}

	/**
	 * Returns the next usable instance in place of the first if a request without an object is expected to end there sooner and within
	 * its target; the first if neither reports how fast its machine is. With two random choices the hosts do not all pick the same
	 * instance. Without the condition on the target, an overload fills all queues evenly, and nearly all requests miss it.
	 * Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
	 */
	#fasterOfTwo(first: Candidate, others: readonly Candidate[], req: PlacementRequest, nowMs: number): Candidate {
		// The empty queue of an instance that is cold, or that could not be reached, says nothing about the time until its response.
		const second = others.find(entry => this.#isUsable(entry, req, nowMs) && entry.health.state(nowMs) === 'open' && !this.#options.table.isCold(entry, nowMs));
		if (second === undefined || !(first.queue.hasTimeFactor || second.queue.hasTimeFactor)) {
			return first;
		}

		const endMs = (entry: Candidate) => {
			const waitMs = this.#waitMs(entry, nowMs);
			return waitMs + this.#runMs(entry, waitMs, req, nowMs);
		};

		return endMs(second) < Math.min(endMs(first), req.targetMs) ? second : first;
	}

	/**
	 * Returns whether a request may be sent to an instance: it is reachable and, if it is cold, this host is below its part of
	 * the rate limit.
	 */
	#isUsable(entry: Candidate, req: PlacementRequest, nowMs: number): boolean {
		const {table, coldLimiter} = this.#options;
		const state = entry.health.state(nowMs);
		if (state === 'closed' || (state === 'probe' && !req.isRepeatable)) {
			return false;
		}

		const {id} = entry.instance;
		return !table.isCold(entry, nowMs) || coldLimiter.hasRemaining(id, req.coldPerSecond, this.#coldShareOf(entry), nowMs);
	}

	/** Counts the request against the rate limit if the instance is cold. */
	#take(entry: Candidate, waitMs: number, req: PlacementRequest, nowMs: number): PlacementChoice {
		const {table, coldLimiter} = this.#options;
		const isCold = table.isCold(entry, nowMs);
		const isAllowed = !isCold || coldLimiter.take(entry.instance.id, req.coldPerSecond, this.#coldShareOf(entry), nowMs);
		return isAllowed
			? {
				kind: 'instance', entry, waitMs, runMs: this.#runMs(entry, waitMs, req, nowMs), isCold,
			}
			: {kind: 'none'};
	}

	#coldShareOf({region, instance}: Candidate): number {
		return region === this.#options.region ? this.#options.coldShare(instance.id) : 0;
	}
}

function mayRunIn(region: string, {allowedRegions}: PlacementRequest): boolean {
	return allowedRegions.length === 0 || allowedRegions.includes(region);
}

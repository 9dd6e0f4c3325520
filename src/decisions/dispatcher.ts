import {CallerQueue} from './caller-queue.js';
import {ClassScheduler} from './class-scheduler.js';
import {InstanceSlots} from './instance-slots.js';
import {RateMeter} from './rate-meter.js';
import {RetryBudget} from './retry-budget.js';
import {ServiceTimes} from './service-times.js';

type DispatchClass = {
	readonly name: string;
	readonly priority: number;
	readonly floor: number;
	readonly repeatable: boolean;
};

type DispatchInstance = InstanceSlots['info'];

/** One request as its owner sees it. */
type DispatchWork = {
	readonly id: string;
	readonly className: string;
	readonly caller: string;
	/** Monotonic milliseconds. */
	readonly deadlineMs: number;
	readonly bytes: number;
};

type DispatchRefusal = 'deadline_unreachable' | 'deadline_expired' | 'queue_full' | 'no_upstream' | 'unknown_class';

type DispatchEffect =
	| {readonly kind: 'start'; readonly workId: string; readonly instanceId: string; readonly address: string}
	| {readonly kind: 'refuse'; readonly workId: string; readonly reason: DispatchRefusal; readonly detail: string; readonly retryAfterMs: number};

type Tracked = DispatchWork & {
	readonly arrivedMs: number;
	startedMs: number;
	instanceId: string | undefined;
	readonly avoid: Set<string>;
	tries: number;
};

type DispatcherOptions = {
	/** Requests that may wait. */
	readonly maxQueued: number;
	/** Time during which a new owner uses half of the slots, in milliseconds: an earlier one may still be using them. */
	readonly takeoverMs: number;
	/** First guess of the service time, in milliseconds. */
	readonly initialServiceMs: number;
};

type FinishResult = Parameters<InstanceSlots['finish']>[0];

/** Weight of the newest service time in the mean. */
/** Tries of one request in one owner's hands. */
const maxTries = 3;
/** Times that a refused caller is told to wait, in milliseconds. */
const shortestRetryMs = 50;
const longestRetryMs = 30_000;
const noUpstreamRetryMs = 500;

/**
 * The owner of a service's slots in one region: queues by class and caller, counts slots exactly, and refuses
 * as soon as a deadline cannot be met. A request that was shed or did not reach its instance waits again.
 */
export class Dispatcher {
	readonly #options: DispatcherOptions;
	readonly #startMs: number;
	readonly #work = new Map<string, Tracked>();
	readonly #queues = new Map<string, CallerQueue<Tracked>>();
	readonly #instances = new Map<string, InstanceSlots>();
	readonly #classes = new Map<string, DispatchClass>();
	readonly #startRates = new Map<string, RateMeter>();
	readonly #retries = new RetryBudget({ratio: 0.1, burst: 20});
	#scheduler = new ClassScheduler([]);
	#configured: ReadonlySet<string> | undefined;
	readonly #times: ServiceTimes;
	#queued = 0;
	#turn = 0;
	readonly #isTakeover: boolean;
	#hasTakenOver: boolean;
	#isHeld = false;

	/** `isTakeover` says that another owner may have dispatched until just now. */
	constructor(options: DispatcherOptions, nowMs: number, isTakeover: boolean) {
		this.#options = options;
		this.#startMs = nowMs;
		this.#times = new ServiceTimes(options.initialServiceMs);
		this.#isTakeover = isTakeover;
		this.#hasTakenOver = !isTakeover;
	}

	/** Requests waiting. */
	get queued(): number {
		return this.#queued;
	}

	/** Requests at instances. */
	get inFlight(): number {
		let total = 0;
		for (const instance of this.#instances.values()) {
			total += instance.inFlight;
		}

		return total;
	}

	/** Mean time from start to answer, in milliseconds. */
	get serviceMs(): number {
		return this.#times.meanMs;
	}

	/** Slots free now, less the requests that wait for them. */
	headroom(nowMs: number): number {
		let free = 0;
		for (const instance of this.#instances.values()) {
			free += Math.max(0, instance.limit(nowMs, this.#share(nowMs), 0) - instance.inFlight);
		}

		return Math.max(0, free - this.#queued);
	}

	/** Slots of the instances that are up and stay. */
	usableSlots(nowMs: number): number {
		let total = 0;
		for (const instance of this.#instances.values()) {
			total += instance.limit(nowMs, this.#share(nowMs), 0);
		}

		return total;
	}

	/** Requests that wait, by class. */
	queuedOf(className: string): number {
		return this.#queues.get(className)?.size ?? 0;
	}

	/** Wait until a new request would start, from the requests ahead of it and the rate at which its class starts. */
	expectedWait(className: string, caller: string, nowMs: number): number {
		const def = this.#classes.get(className);
		if (def === undefined || ![...this.#instances.values()].some(instance => instance.isUp && !instance.isLeaving)) {
			return def === undefined ? 0 : Number.POSITIVE_INFINITY;
		}

		if (this.headroom(nowMs) > 0) {
			return 0;
		}

		const ahead = this.queuedOf(className) === 0 ? 0 : this.#queueOf(className).ahead(caller);
		return ((ahead + 1) * 1000) / this.#classRate(def, nowMs);
	}

	/** State of each instance, for operators. */
	instances(nowMs: number): ReadonlyArray<{id: string; address: string; inFlight: number; limit: number; isLeaving: boolean; isUp: boolean}> {
		return [...this.#instances.values()].map(instance => ({
			id: instance.info.id,
			address: instance.info.address,
			inFlight: instance.inFlight,
			limit: instance.limit(nowMs, this.#share(nowMs), this.#times.allowance),
			isLeaving: instance.isLeaving,
			isUp: instance.isUp,
		}));
	}

	/** Holds back all starts, or lets them go on at the next event: a host that was paused may own the slots no longer. */
	hold(isHeld: boolean): void {
		this.#isHeld = isHeld;
	}

	/** Puts a configuration into force; instances that remain keep their counts. */
	configure(classes: readonly DispatchClass[], instances: readonly DispatchInstance[], nowMs: number): DispatchEffect[] {
		this.#scheduler = new ClassScheduler(classes);
		this.#classes.clear();
		for (const item of classes) {
			this.#classes.set(item.name, item);
		}

		const isFirst = this.#configured === undefined;
		this.#configured = new Set(instances.map(info => info.id));
		for (const [id, instance] of this.#instances) {
			if (!this.#configured.has(id)) {
				instance.isLeaving = true;
				if (instance.inFlight === 0) {
					this.#instances.delete(id);
				}
			}
		}

		for (const info of instances) {
			const current = this.#instances.get(info.id);
			if (current?.info.address !== info.address || current.info.slots !== info.slots) {
				const next = new InstanceSlots(info, isFirst && this.#isTakeover);
				next.inFlight = current?.inFlight ?? 0;
				this.#instances.set(info.id, next);
			}
		}

		return [...this.#dropUnknownClasses(), ...this.#fill(nowMs)];
	}

	/** Takes in a request. */
	arrive(work: DispatchWork, nowMs: number): DispatchEffect[] {
		if (!this.#classes.has(work.className)) {
			return [{
				kind: 'refuse', workId: work.id, reason: 'unknown_class', detail: `no class is named ${work.className}`, retryAfterMs: 0,
			}];
		}

		if (this.#queued >= this.#options.maxQueued) {
			return [this.#refuse(work.id, 'queue_full', `${this.#queued} requests wait already`, this.#drainMs(nowMs))];
		}

		const waitMs = this.expectedWait(work.className, work.caller, nowMs);
		if (waitMs === Number.POSITIVE_INFINITY) {
			return [this.#refuse(work.id, 'no_upstream', 'no instance of the service takes work in this region', noUpstreamRetryMs)];
		}

		if (nowMs + waitMs + this.#times.boundMs > work.deadlineMs) {
			return [this.#refuse(work.id, 'deadline_unreachable', `the wait is expected to be ${Math.round(waitMs)} ms`, waitMs)];
		}

		this.#retries.earn();
		this.#enqueue({
			...work, arrivedMs: nowMs, startedMs: 0, instanceId: undefined, avoid: new Set(), tries: 0,
		});
		return this.#fill(nowMs);
	}

	/** Takes in the end of a try. `isRetried` asks for another try elsewhere, which the budget may not allow. */
	finished(workId: string, result: FinishResult, isRetried: boolean, nowMs: number): {readonly effects: DispatchEffect[]; readonly isRetrying: boolean} {
		const work = this.#work.get(workId);
		const instance = work?.instanceId === undefined ? undefined : this.#instances.get(work.instanceId);
		if (work === undefined || instance === undefined) {
			throw new Error(`request ${workId} ended without having started`);
		}

		instance.finish(result, nowMs);
		if (instance.inFlight === 0 && this.#configured?.has(instance.info.id) !== true) {
			this.#instances.delete(instance.info.id);
		}

		if (result === 'done') {
			this.#times.observe(nowMs - work.startedMs);
		}

		const isProof = result === 'shed' || result === 'unreachable';
		const canRetry = isRetried && work.tries < maxTries && nowMs < work.deadlineMs && (isProof || this.#retries.spend());
		if (canRetry) {
			work.avoid.add(instance.info.id);
			work.instanceId = undefined;
			this.#queueOf(work.className).addFirst(work);
			this.#queued++;
		} else {
			this.#work.delete(workId);
		}

		return {effects: this.#fill(nowMs), isRetrying: canRetry};
	}

	/** Removes a request that waits; answers whether it did, which proves that it will not start. */
	cancel(workId: string): boolean {
		const work = this.#work.get(workId);
		if (work === undefined || work.instanceId !== undefined) {
			return false;
		}

		this.#queueOf(work.className).remove(workId, work.caller);
		this.#queued--;
		this.#work.delete(workId);
		return true;
	}

	/** Removes the next request in turn that has waited for longer than its class's `patience` allows, in milliseconds. */
	takeWaiting(patience: (className: string) => number, nowMs: number): string | undefined {
		for (const [className, queue] of this.#queues) {
			const next = queue.peek();
			if (next !== undefined && nowMs - next.arrivedMs > patience(className)) {
				queue.remove(next.id, next.caller);
				this.#queued--;
				this.#work.delete(next.id);
				return next.id;
			}
		}

		return undefined;
	}

	/** Takes in what a health check, the host list or a peer says of an instance. */
	observe(instanceId: string, state: 'live' | 'leaving' | 'unreachable', nowMs: number): DispatchEffect[] {
		const instance = this.#instances.get(instanceId);
		if (instance === undefined) {
			return [];
		}

		switch (state) {
			case 'live': {
				instance.isLeaving &&= this.#configured?.has(instanceId) !== true;
				instance.markUp();
				break;
			}

			case 'leaving': {
				instance.isLeaving = true;
				break;
			}

			case 'unreachable': {
				instance.markDown(nowMs);
				break;
			}
		}

		return this.#fill(nowMs);
	}

	/** Takes in the time that a message to an instance and back took, in milliseconds. */
	observeTransit(roundTripMs: number): void {
		this.#times.observeTransit(roundTripMs);
	}

	/** Advances time: starts what backoffs held back and drops what expired. */
	tick(nowMs: number): DispatchEffect[] {
		this.#hasTakenOver ||= nowMs - this.#startMs >= this.#options.takeoverMs;
		const effects: DispatchEffect[] = [];
		for (const queue of this.#queues.values()) {
			for (const work of queue.removeWhere(item => nowMs + this.#times.boundMs > item.deadlineMs)) {
				effects.push(this.#dropQueued(work, nowMs));
			}
		}

		effects.push(...this.#fill(nowMs));
		return effects;
	}

	/** Refuses everything that waits, as at the end of ownership. */
	refuseQueued(detail: string): DispatchEffect[] {
		const effects: DispatchEffect[] = [];
		for (const queue of this.#queues.values()) {
			for (const work of queue.removeWhere(() => true)) {
				this.#queued--;
				this.#work.delete(work.id);
				effects.push(this.#refuse(work.id, 'no_upstream', detail, 0));
			}
		}

		return effects;
	}

	#share(nowMs: number): number {
		return this.#hasTakenOver || nowMs - this.#startMs >= this.#options.takeoverMs ? 1 : 0.5;
	}

	#enqueue(work: Tracked): void {
		this.#work.set(work.id, work);
		this.#queueOf(work.className).add(work);
		this.#queued++;
	}

	#queueOf(className: string): CallerQueue<Tracked> {
		let queue = this.#queues.get(className);
		if (queue === undefined) {
			queue = new CallerQueue();
			this.#queues.set(className, queue);
		}

		return queue;
	}

	#refuse(workId: string, reason: DispatchRefusal, detail: string, retryAfterMs: number): DispatchEffect {
		return {
			kind: 'refuse', workId, reason, detail, retryAfterMs: Math.min(longestRetryMs, Math.max(shortestRetryMs, retryAfterMs)),
		};
	}

	#dropQueued(work: Tracked, nowMs: number): DispatchEffect {
		this.#queued--;
		this.#work.delete(work.id);
		return this.#refuse(work.id, 'deadline_expired', 'the deadline passed while the request waited', this.#drainMs(nowMs));
	}

	#dropUnknownClasses(): DispatchEffect[] {
		const effects: DispatchEffect[] = [];
		for (const [name, queue] of this.#queues) {
			if (!this.#classes.has(name)) {
				for (const work of queue.removeWhere(() => true)) {
					this.#queued--;
					this.#work.delete(work.id);
					effects.push({
						kind: 'refuse', workId: work.id, reason: 'unknown_class', detail: `the class ${name} was removed`, retryAfterMs: 0,
					});
				}
			}
		}

		return effects;
	}

	/** Starts requests while instances have room. */
	#fill(nowMs: number): DispatchEffect[] {
		const effects: DispatchEffect[] = [];
		const hasWork = (name: string) => this.queuedOf(name) > 0;
		while (this.#queued > 0 && !this.#isHeld) {
			const name = this.#scheduler.next(hasWork);
			if (name === undefined || this.#pickInstance(new Set(), nowMs) === undefined) {
				break;
			}

			const work = this.#queueOf(name).take()!;
			if (nowMs + this.#times.boundMs > work.deadlineMs) {
				effects.push(this.#dropQueued(work, nowMs));
				continue;
			}

			const instance = this.#pickInstance(work.avoid, nowMs) ?? this.#pickInstance(new Set(), nowMs)!;
			this.#queued--;
			this.#scheduler.started(name, hasWork);
			this.#startRate(name).count(nowMs);
			effects.push(this.#start(work, instance, nowMs));
		}

		return effects;
	}

	#start(work: Tracked, instance: InstanceSlots, nowMs: number): DispatchEffect {
		const limit = instance.limit(nowMs, this.#share(nowMs), this.#times.allowance);
		if (instance.inFlight >= limit) {
			throw new Error(`instance ${instance.info.id} would hold more than its limit of ${limit}`);
		}

		instance.start();
		work.instanceId = instance.info.id;
		work.startedMs = nowMs;
		work.tries++;
		return {
			kind: 'start', workId: work.id, instanceId: instance.info.id, address: instance.info.address,
		};
	}

	/** The instance with the smallest part of its limit in use; ties take turns. */
	#pickInstance(avoid: ReadonlySet<string>, nowMs: number): InstanceSlots | undefined {
		let best: InstanceSlots | undefined;
		let bestUse = 1;
		const instances = [...this.#instances.values()];
		this.#turn++;
		for (let index = 0; index < instances.length; index++) {
			const instance = instances[(index + this.#turn) % instances.length]!;
			const limit = instance.limit(nowMs, this.#share(nowMs), this.#times.allowance);
			const use = limit === 0 ? 1 : instance.inFlight / limit;
			if (use < bestUse && !avoid.has(instance.info.id)) {
				best = instance;
				bestUse = use;
			}
		}

		return best;
	}

	#startRate(name: string): RateMeter {
		let meter = this.#startRates.get(name);
		if (meter === undefined) {
			meter = new RateMeter(1000);
			this.#startRates.set(name, meter);
		}

		return meter;
	}

	/** Requests a second that the instances finish when all are busy. */
	#capacity(nowMs: number): number {
		return (Math.max(1, this.usableSlots(nowMs)) * 1000) / Math.max(0.5, this.#times.meanMs);
	}

	/** Starts a second that a class can count on: its floor, or what the more urgent classes leave. */
	#classRate(def: DispatchClass, nowMs: number): number {
		const capacity = this.#capacity(nowMs);
		let others = 0;
		for (const item of this.#classes.values()) {
			const isWaiting = this.queuedOf(item.name) > 0;
			if (item.name !== def.name && item.priority <= def.priority) {
				others += this.#startRate(item.name).perSecond(nowMs);
			} else if (item.name !== def.name && isWaiting) {
				others += item.floor * capacity;
			}
		}

		return Math.max(def.floor * capacity, capacity - others, capacity * 0.02);
	}

	#drainMs(nowMs: number): number {
		return (this.#queued * 1000) / this.#capacity(nowMs);
	}
}

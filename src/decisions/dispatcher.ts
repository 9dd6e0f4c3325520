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

/** A request as submitted to the dispatcher of the service's owner. */
type DispatchRequest = {
	/** Unique for each arrival: two copies of one request have different ids. */
	readonly id: string;
	readonly className: string;
	readonly caller: string;
	/** Monotonic milliseconds. */
	readonly deadlineMs: number;
	readonly bytes: number;
};

type DispatchRefusal = 'deadline_unreachable' | 'deadline_expired' | 'queue_full' | 'no_upstream' | 'unknown_class';

/** Action that the caller of the dispatcher has to carry out. */
type DispatchEffect =
	| {readonly kind: 'start'; readonly arrivalId: string; readonly instanceId: string; readonly address: string}
	| {readonly kind: 'refuse'; readonly arrivalId: string; readonly reason: DispatchRefusal; readonly detail: string; readonly retryAfterMs: number};

type TrackedRequest = DispatchRequest & {
	readonly arrivedMs: number;
	startedMs: number;
	instanceId: string | undefined;
	readonly avoid: Set<string>;
	attempts: number;
};

type DispatcherOptions = {
	/** Maximum number of queued requests. */
	readonly maxQueued: number;
	/** Time during which a new owner uses half of the slots, in milliseconds, because a previous owner may still be using them. */
	readonly takeoverMs: number;
	/** Initial estimate of the service time, in milliseconds. */
	readonly initialServiceMs: number;
};

type FinishResult = Parameters<InstanceSlots['finish']>[0];

/** Maximum number of attempts that one owner makes for a request. */
const maxAttempts = 3;
/** Bounds of the retry-after time in refusals. */
const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;
const noUpstreamRetryAfterMs = 500;

/**
 * Dispatches the requests of one service to its instances in one region; runs at the service's owner. Queues requests
 * by class and caller, keeps an exact count of the slots in use, and refuses a request as soon as its deadline cannot be
 * met. A request that was shed or did not reach its instance is queued again.
 */
export class Dispatcher {
	readonly #options: DispatcherOptions;
	readonly #startMs: number;
	readonly #requests = new Map<string, TrackedRequest>();
	readonly #queues = new Map<string, CallerQueue<TrackedRequest>>();
	readonly #instances = new Map<string, InstanceSlots>();
	readonly #classes = new Map<string, DispatchClass>();
	readonly #startRates = new Map<string, RateMeter>();
	readonly #retryBudget = new RetryBudget({ratio: 0.1, burst: 20});
	#scheduler = new ClassScheduler([]);
	#configuredIds: ReadonlySet<string> | undefined;
	readonly #serviceTimes: ServiceTimes;
	#queued = 0;
	#rotation = 0;
	readonly #isTakeover: boolean;
	#hasFullShare: boolean;
	#isHeld = false;

	/** `isTakeover` states whether another owner may have dispatched requests until now. */
	constructor(options: DispatcherOptions, nowMs: number, isTakeover: boolean) {
		this.#options = options;
		this.#startMs = nowMs;
		this.#serviceTimes = new ServiceTimes(options.initialServiceMs);
		this.#isTakeover = isTakeover;
		this.#hasFullShare = !isTakeover;
	}

	/** Number of queued requests. */
	get queued(): number {
		return this.#queued;
	}

	/** Number of requests sent to instances that have not finished. */
	get inFlight(): number {
		let total = 0;
		for (const instance of this.#instances.values()) {
			total += instance.inFlight;
		}

		return total;
	}

	/** Mean time from start to response, in milliseconds. */
	get serviceMs(): number {
		return this.#serviceTimes.meanMs;
	}

	/** Returns the number of free slots minus the number of queued requests, at least 0. */
	headroom(nowMs: number): number {
		let free = 0;
		for (const instance of this.#instances.values()) {
			free += Math.max(0, instance.limit(nowMs, this.#slotShare(nowMs), 0) - instance.inFlight);
		}

		return Math.max(0, free - this.#queued);
	}

	/** Returns the number of slots that may be used now, over all instances that are up and not leaving. */
	usableSlots(nowMs: number): number {
		let total = 0;
		for (const instance of this.#instances.values()) {
			total += instance.limit(nowMs, this.#slotShare(nowMs), 0);
		}

		return total;
	}

	/** Returns the number of queued requests of a class. */
	queuedOf(className: string): number {
		return this.#queues.get(className)?.size ?? 0;
	}

	/** Estimates the time until a new request would start, in milliseconds, from the number of requests ahead of it and its class's start rate. */
	expectedWait(className: string, caller: string, nowMs: number): number {
		const def = this.#classes.get(className);
		if (def === undefined || ![...this.#instances.values()].some(instance => instance.isUp && !instance.isLeaving)) {
			return def === undefined ? 0 : Number.POSITIVE_INFINITY;
		}

		if (this.headroom(nowMs) > 0) {
			return 0;
		}

		const ahead = this.queuedOf(className) === 0 ? 0 : this.#queueOf(className).countAhead(caller);
		return ((ahead + 1) * 1000) / this.#classRate(def, nowMs);
	}

	/** Returns the state of each instance, for the status that operators read. */
	instances(nowMs: number): ReadonlyArray<{id: string; address: string; inFlight: number; limit: number; isLeaving: boolean; isUp: boolean}> {
		return [...this.#instances.values()].map(instance => ({
			id: instance.info.id,
			address: instance.info.address,
			inFlight: instance.inFlight,
			limit: instance.limit(nowMs, this.#slotShare(nowMs), this.#serviceTimes.transitAllowance),
			isLeaving: instance.isLeaving,
			isUp: instance.isUp,
		}));
	}

	/** Suspends all starts, or resumes them at the next event. A host that was paused may no longer own the slots. */
	hold(isHeld: boolean): void {
		this.#isHeld = isHeld;
	}

	/** Applies a configuration. Instances that remain keep their counts. */
	configure(classes: readonly DispatchClass[], instances: readonly DispatchInstance[], nowMs: number): DispatchEffect[] {
		this.#scheduler = new ClassScheduler(classes);
		this.#classes.clear();
		for (const item of classes) {
			this.#classes.set(item.name, item);
		}

		const isFirst = this.#configuredIds === undefined;
		this.#configuredIds = new Set(instances.map(info => info.id));
		for (const [id, instance] of this.#instances) {
			if (!this.#configuredIds.has(id)) {
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

		return [...this.#refuseUnknownClasses(), ...this.#startQueued(nowMs)];
	}

	/** Accepts a request, or refuses it if its deadline cannot be met, the queue is full or no instance is available. */
	arrive(request: DispatchRequest, nowMs: number): DispatchEffect[] {
		if (!this.#classes.has(request.className)) {
			return [{
				kind: 'refuse', arrivalId: request.id, reason: 'unknown_class', detail: `no class is named ${request.className}`, retryAfterMs: 0,
			}];
		}

		if (this.#queued >= this.#options.maxQueued) {
			return [this.#refuse(request.id, 'queue_full', `${this.#queued} requests are already queued`, this.#estimateQueueMs(nowMs))];
		}

		const waitMs = this.expectedWait(request.className, request.caller, nowMs);
		if (waitMs === Number.POSITIVE_INFINITY) {
			return [this.#refuse(request.id, 'no_upstream', 'no instance of the service accepts requests in this region', noUpstreamRetryAfterMs)];
		}

		if (nowMs + waitMs + this.#serviceTimes.boundMs > request.deadlineMs) {
			return [this.#refuse(request.id, 'deadline_unreachable', `the expected wait of ${Math.round(waitMs)} ms leaves too little time for a run before the deadline`, waitMs)];
		}

		this.#retryBudget.recordFirstAttempt();
		this.#enqueue({
			...request, arrivedMs: nowMs, startedMs: 0, instanceId: undefined, avoid: new Set(), attempts: 0,
		});
		return this.#startQueued(nowMs);
	}

	/** Records the end of an attempt. `isRetried` requests another attempt at another instance, which the retry budget may not allow. */
	finished(arrivalId: string, result: FinishResult, isRetried: boolean, nowMs: number): {readonly effects: DispatchEffect[]; readonly isRetrying: boolean} {
		const request = this.#requests.get(arrivalId);
		const instance = request?.instanceId === undefined ? undefined : this.#instances.get(request.instanceId);
		if (request === undefined || instance === undefined) {
			throw new Error(`request ${arrivalId} finished without a running attempt`);
		}

		instance.finish(result, nowMs);
		if (instance.inFlight === 0 && this.#configuredIds?.has(instance.info.id) !== true) {
			this.#instances.delete(instance.info.id);
		}

		if (result === 'done') {
			this.#serviceTimes.record(nowMs - request.startedMs);
		}

		const isProvenNotRun = result === 'shed' || result === 'unreachable';
		const canRetry = isRetried && request.attempts < maxAttempts && nowMs < request.deadlineMs && (isProvenNotRun || this.#retryBudget.take());
		if (canRetry) {
			request.avoid.add(instance.info.id);
			request.instanceId = undefined;
			this.#queueOf(request.className).addFirst(request);
			this.#queued++;
		} else {
			this.#requests.delete(arrivalId);
		}

		return {effects: this.#startQueued(nowMs), isRetrying: canRetry};
	}

	/** Removes a request if it is queued; returns whether it was. If so, the request is proven not to start. */
	cancel(arrivalId: string): boolean {
		const request = this.#requests.get(arrivalId);
		if (request === undefined || request.instanceId !== undefined) {
			return false;
		}

		this.#queueOf(request.className).remove(arrivalId, request.caller);
		this.#queued--;
		this.#requests.delete(arrivalId);
		return true;
	}

	/** Removes the next request of the first class whose next request has been queued longer than `maxWaitMs` allows; returns its id. */
	takeWaiting(maxWaitMs: (className: string) => number, nowMs: number): string | undefined {
		for (const [className, queue] of this.#queues) {
			const next = queue.peek();
			if (next !== undefined && nowMs - next.arrivedMs > maxWaitMs(className)) {
				queue.remove(next.id, next.caller);
				this.#queued--;
				this.#requests.delete(next.id);
				return next.id;
			}
		}

		return undefined;
	}

	/** Records the state of an instance as reported by a health check, the host list or a peer. */
	recordState(instanceId: string, state: 'live' | 'leaving' | 'unreachable', nowMs: number): DispatchEffect[] {
		const instance = this.#instances.get(instanceId);
		if (instance === undefined) {
			return [];
		}

		switch (state) {
			case 'live': {
				instance.isLeaving &&= this.#configuredIds?.has(instanceId) !== true;
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

		return this.#startQueued(nowMs);
	}

	/** Records a round-trip time to an instance, in milliseconds. */
	recordRoundTrip(roundTripMs: number): void {
		this.#serviceTimes.recordRoundTrip(roundTripMs);
	}

	/** Advances time: starts requests that were waiting for the end of a backoff, and refuses queued requests whose deadline can no longer be met. */
	tick(nowMs: number): DispatchEffect[] {
		this.#hasFullShare ||= nowMs - this.#startMs >= this.#options.takeoverMs;
		const effects: DispatchEffect[] = [];
		for (const queue of this.#queues.values()) {
			for (const request of queue.removeWhere(item => nowMs + this.#serviceTimes.boundMs > item.deadlineMs)) {
				effects.push(this.#refuseExpired(request, nowMs));
			}
		}

		effects.push(...this.#startQueued(nowMs));
		return effects;
	}

	/** Refuses all queued requests, for example when this host stops being the owner. */
	refuseQueued(detail: string): DispatchEffect[] {
		const effects: DispatchEffect[] = [];
		for (const queue of this.#queues.values()) {
			for (const request of queue.removeWhere(() => true)) {
				this.#queued--;
				this.#requests.delete(request.id);
				effects.push(this.#refuse(request.id, 'no_upstream', detail, 0));
			}
		}

		return effects;
	}

	#slotShare(nowMs: number): number {
		return this.#hasFullShare || nowMs - this.#startMs >= this.#options.takeoverMs ? 1 : 0.5;
	}

	#enqueue(request: TrackedRequest): void {
		this.#requests.set(request.id, request);
		this.#queueOf(request.className).add(request);
		this.#queued++;
	}

	#queueOf(className: string): CallerQueue<TrackedRequest> {
		let queue = this.#queues.get(className);
		if (queue === undefined) {
			queue = new CallerQueue();
			this.#queues.set(className, queue);
		}

		return queue;
	}

	#refuse(arrivalId: string, reason: DispatchRefusal, detail: string, retryAfterMs: number): DispatchEffect {
		return {
			kind: 'refuse', arrivalId, reason, detail, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs)),
		};
	}

	#refuseExpired(request: TrackedRequest, nowMs: number): DispatchEffect {
		this.#queued--;
		this.#requests.delete(request.id);
		return this.#refuse(request.id, 'deadline_expired', 'the request was queued until its deadline could no longer be met', this.#estimateQueueMs(nowMs));
	}

	#refuseUnknownClasses(): DispatchEffect[] {
		const effects: DispatchEffect[] = [];
		for (const [name, queue] of this.#queues) {
			if (!this.#classes.has(name)) {
				for (const request of queue.removeWhere(() => true)) {
					this.#queued--;
					this.#requests.delete(request.id);
					effects.push({
						kind: 'refuse', arrivalId: request.id, reason: 'unknown_class', detail: `the class ${name} was removed`, retryAfterMs: 0,
					});
				}
			}
		}

		return effects;
	}

	/** Starts queued requests while instances have free slots. */
	#startQueued(nowMs: number): DispatchEffect[] {
		const effects: DispatchEffect[] = [];
		const hasQueued = (name: string) => this.queuedOf(name) > 0;
		while (this.#queued > 0 && !this.#isHeld) {
			const name = this.#scheduler.next(hasQueued);
			if (name === undefined || this.#pickInstance(new Set(), nowMs) === undefined) {
				break;
			}

			const request = this.#queueOf(name).take()!;
			if (nowMs + this.#serviceTimes.boundMs > request.deadlineMs) {
				effects.push(this.#refuseExpired(request, nowMs));
				continue;
			}

			const instance = this.#pickInstance(request.avoid, nowMs) ?? this.#pickInstance(new Set(), nowMs)!;
			this.#queued--;
			this.#scheduler.recordStart(name, hasQueued);
			this.#startRate(name).record(nowMs);
			effects.push(this.#start(request, instance, nowMs));
		}

		return effects;
	}

	#start(request: TrackedRequest, instance: InstanceSlots, nowMs: number): DispatchEffect {
		const limit = instance.limit(nowMs, this.#slotShare(nowMs), this.#serviceTimes.transitAllowance);
		if (instance.inFlight >= limit) {
			throw new Error(`expected instance ${instance.info.id} to have fewer requests in flight than its limit of ${limit}`);
		}

		instance.start();
		request.instanceId = instance.info.id;
		request.startedMs = nowMs;
		request.attempts++;
		return {
			kind: 'start', arrivalId: request.id, instanceId: instance.info.id, address: instance.info.address,
		};
	}

	/** Returns the instance with the smallest share of its limit in use; ties are broken round-robin. */
	#pickInstance(avoid: ReadonlySet<string>, nowMs: number): InstanceSlots | undefined {
		let best: InstanceSlots | undefined;
		let bestUse = 1;
		const instances = [...this.#instances.values()];
		this.#rotation++;
		for (let index = 0; index < instances.length; index++) {
			const instance = instances[(index + this.#rotation) % instances.length]!;
			const limit = instance.limit(nowMs, this.#slotShare(nowMs), this.#serviceTimes.transitAllowance);
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

	/** Returns the number of requests per second that the instances complete when all of them are busy. */
	#capacity(nowMs: number): number {
		return (Math.max(1, this.usableSlots(nowMs)) * 1000) / Math.max(0.5, this.#serviceTimes.meanMs);
	}

	/**
	 * Returns the starts per second that a class can rely on: the largest of its floor, 2 % of the capacity, and the capacity
	 * minus the starts of classes that are at least as urgent and the floors of less urgent classes with queued requests.
	 */
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

	#estimateQueueMs(nowMs: number): number {
		return (this.#queued * 1000) / this.#capacity(nowMs);
	}
}

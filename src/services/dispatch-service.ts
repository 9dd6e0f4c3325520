import {setTimeout as delay} from 'node:timers/promises';
import {match} from 'ts-pattern';
import {type Configuration} from '../config/configuration.js';
import {type ServiceFile} from '../config/service-file.js';
import {type Clock} from '../contracts/clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {type Upstream} from '../contracts/upstream.js';
import {type Grant} from '../contracts/grant.js';
import {Dispatcher} from '../decisions/dispatcher.js';
import {overallOutcome} from '../decisions/overall-outcome.js';
import {CreditBalance} from '../decisions/credit-balance.js';
import {GrantIssuer} from '../decisions/grant-issuer.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Result} from '../result.js';
import {type ConfigService} from './config-service.js';
import {type Job} from './job.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type QuarantineService} from './quarantine-service.js';
import {type ShiftService} from './shift-service.js';
import {type Tracer} from './tracer.js';

type DispatchOptions = {
	readonly region: string;
	readonly maxQueued: number;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly upstream: Upstream;
	readonly quarantine: QuarantineService;
	readonly shift: ShiftService;
};

type DispatcherEffects = ReturnType<Dispatcher['tick']>;
type Instance = {readonly id: string; readonly address: string};
type UpstreamResult = Awaited<ReturnType<Upstream['call']>>;

/** A request that the dispatcher has queued or started, with the callback for its outcome. */
type PendingRequest = {
	readonly id: string;
	readonly job: Job;
	readonly controller: AbortController;
	readonly resolve: (outcome: Outcome) => void;
	/** Whether an attempt ended without proof that the request did not run. */
	mayHaveRun: boolean;
};

/** A service whose slots this host owns; after a change of owner it is kept until its last request has ended. */
type OwnedService = {
	readonly dispatcher: Dispatcher;
	readonly pending: Map<string, PendingRequest>;
	/** Grants credits to other regions. */
	readonly issuer: GrantIssuer;
	/** Credits that other regions have granted to this one. */
	readonly creditBalance: CreditBalance;
	/** Time of the last complete response from each instance, by instance id, in monotonic milliseconds. */
	readonly lastResponseMs: Map<string, number>;
};

const tickMs = 20;
/** Delay before a refused request is retried, during which another region may grant credits. */
const creditRetryDelayMs = 40;
/** Maximum number of refused requests that wait for credits at once. */
const maxAwaitingCredits = 500;
/** Reasons for a refusal after which another region, or this one after a delay, may still respond within the deadline. */
const overflowRefusalReasons = new Set<string>(['deadline_unreachable', 'deadline_expired', 'queue_full', 'no_upstream', 'peer_unreachable', 'paused']);
const healthIntervalMs = 1000;
/** Time during which a new owner uses half of the slots, because the previous owner may still be using them. */
const takeoverMs = 1000;
/** Initial value of the mean service time. */
const initialServiceMs = 20;
/** Minimum time without a response after which a repeatable request is considered lost. */
const minOverdueMs = 500;

/**
 * Dispatches the requests of the services whose slots this host owns: queues them, calls instances and checks the
 * instances' health.
 */
export class DispatchService {
	readonly #options: DispatchOptions;
	readonly #ownedServices = new Map<string, OwnedService>();
	/** Number of refused requests that wait for credits from another region. */
	#awaitingCredits = 0;
	/** Number of requests handed to dispatchers, from which unique ids are made. */
	#arrivals = 0;

	constructor(options: DispatchOptions) {
		this.#options = options;
	}

	/** Number of requests that are queued or running in this host's dispatchers. */
	get pending(): number {
		let total = 0;
		for (const owned of this.#ownedServices.values()) {
			total += owned.pending.size;
		}

		return total;
	}

	start(lifecycle: Lifecycle): void {
		const {config, members} = this.#options;
		config.onChange(cfg => {
			this.#configureAll(cfg);
		});
		members.onChange(() => {
			this.#releaseServices();
		});
		lifecycle.every('dispatch tick', tickMs, () => {
			const isHeld = !members.isConfident();
			for (const owned of this.#ownedServices.values()) {
				owned.dispatcher.hold(isHeld);
				this.#runEffects(owned, owned.dispatcher.tick(this.#options.clock.nowMs()));
			}

			this.#shiftWaiting();
			this.#requestCredits();
		});
		lifecycle.every('instance health', healthIntervalMs, () => {
			this.#checkHealth();
		});
	}

	/** Returns the dispatchers of the services that this host owns, by service name. */
	dispatchers(): ReadonlyMap<string, Dispatcher> {
		return new Map([...this.#ownedServices].map(([name, owned]) => [name, owned.dispatcher]));
	}

	/**
	 * Runs a request on an instance of this region, or refuses it if this host does not own the service's slots. A request of this
	 * region may be sent to another region instead; one received from another region is not.
	 */
	async submit(job: Job): Promise<Outcome> {
		if (job.head.region === this.#options.region) {
			return this.#runOrShift(job);
		}

		const admission = this.#admit(job);
		if (!admission.success) {
			return admission.error;
		}

		const {issuer} = admission.data;
		issuer.recordArrival(job.head.region);
		const outcome = await this.#runHere(admission.data, job);
		issuer.recordResponse(job.head.region, job.body.byteLength + (outcome.kind === 'whole' ? outcome.body.byteLength : 0));
		return outcome;
	}

	/**
	 * Grants another region credits for requests to a service; the grant is empty if this host does not own the
	 * service's slots.
	 */
	grant(serviceName: string, from: string, want: number): Grant {
		const {members, config, clock, shift} = this.#options;
		const service = config.current?.service(serviceName);
		const budget = shift.linkBudget(from);
		const isOwner = members.isConfident() && members.isSelf(members.ownerOf(serviceName));
		if (service === undefined || budget === undefined || !isOwner) {
			return {requests: 0, bytes: 0, validMs: 0};
		}

		const owned = this.#ownedService(serviceName, service);
		const nowMs = clock.nowMs();
		return owned.issuer.issue({
			from, want, headroom: owned.dispatcher.headroom(nowMs), ...budget,
		}, nowMs);
	}

	/** Returns the service's dispatch state if this host may dispatch the request now, and a refusal otherwise. */
	#admit(job: Job): Result<OwnedService, Outcome> {
		const {members, quarantine, config} = this.#options;
		const {head} = job;
		const service = config.current?.service(head.service);
		if (!members.isConfident()) {
			return {success: false, error: refusal('paused', 'this host was paused and has not yet confirmed which services it owns')};
		}

		if (!members.isSelf(members.ownerOf(head.service))) {
			return {success: false, error: refusal('not_owner', 'another host owns the slots of the service')};
		}

		if (service === undefined) {
			return {success: false, error: refusal('unknown_service', `unknown service "${head.service}"`)};
		}

		if (quarantine.isBlocked(head.fingerprint)) {
			return {success: false, error: refusal('quarantined', 'several upstreams were lost while they ran this request; an operator can lift the quarantine')};
		}

		return {success: true, data: this.#ownedService(head.service, service)};
	}

	/**
	 * Runs a request of this region: here, or in another region against a credit if the expected wait exceeds the class's target.
	 * A refused request is retried after a delay while it can still complete within its deadline.
	 */
	async #runOrShift(job: Job): Promise<Outcome> {
		const {clock, shift} = this.#options;
		for (;;) {
			// Checked again after each delay, because the owner may have changed.
			const admission = this.#admit(job);
			if (!admission.success) {
				return admission.error;
			}

			const owned = admission.data;
			const nowMs = clock.nowMs();
			const isWaitTooLong = owned.dispatcher.expectedWait(job.head.className, job.head.caller, nowMs) > this.#targetMs(job);
			const region = isWaitTooLong ? owned.creditBalance.take(job.body.byteLength, nowMs) : undefined;
			const outcome = region === undefined ? await this.#runHere(owned, job) : await shift.send(region, job);
			if (!this.#shouldAwaitCredits(job, owned, outcome)) {
				return outcome;
			}

			this.#awaitingCredits++;
			await delay(creditRetryDelayMs);
			this.#awaitingCredits--;
		}
	}

	/** Whether a refused request can still complete within its deadline after a delay, here or in another region. */
	#shouldAwaitCredits(job: Job, owned: OwnedService, outcome: Outcome): boolean {
		if (outcome.kind !== 'not-run' || !overflowRefusalReasons.has(outcome.reason)) {
			return false;
		}

		const {clock, shift} = this.#options;
		const isInTime = clock.nowMs() + creditRetryDelayMs + owned.dispatcher.serviceMs < job.deadlineMs;
		const canUseOtherRegion = shift.reachableRegionsFor(job.head.service).length > 0;
		return isInTime && canUseOtherRegion && !job.signal.aborted && this.#awaitingCredits < maxAwaitingCredits;
	}

	async #runHere(owned: OwnedService, job: Job): Promise<Outcome> {
		const {clock} = this.#options;
		const {head} = job;
		// A duplicate of a request can be received while the first one is still queued, so each arrival gets its own id.
		this.#arrivals++;
		const id = `${head.requestId}/${this.#arrivals}`;
		return new Promise<Outcome>(resolve => {
			const pending: PendingRequest = {
				id, job, controller: new AbortController(), resolve, mayHaveRun: false,
			};
			owned.pending.set(id, pending);
			job.signal.addEventListener('abort', () => {
				this.#cancel(owned, pending);
			}, {once: true});
			const effects = owned.dispatcher.arrive({
				id, className: head.className, caller: head.caller, deadlineMs: job.deadlineMs, bytes: job.body.byteLength,
			}, clock.nowMs());
			this.#runEffects(owned, effects);
		});
	}

	#ownedService(name: string, service: ServiceFile): OwnedService {
		let owned = this.#ownedServices.get(name);
		if (owned === undefined) {
			const dispatcher = new Dispatcher({maxQueued: this.#options.maxQueued, takeoverMs, initialServiceMs}, this.#options.clock.nowMs(), true);
			owned = {
				dispatcher, pending: new Map(), issuer: new GrantIssuer(), creditBalance: new CreditBalance(), lastResponseMs: new Map(),
			};
			this.#ownedServices.set(name, owned);
			this.#options.logger.info('this host now owns the slots of a service', {service: name});
			this.#configure(owned, service);
		}

		return owned;
	}

	#configureAll(cfg: Configuration): void {
		for (const [name, owned] of this.#ownedServices) {
			const service = cfg.service(name);
			if (service === undefined) {
				this.#runEffects(owned, owned.dispatcher.configure([], [], this.#options.clock.nowMs()));
			} else {
				this.#configure(owned, service);
			}
		}
	}

	#configure(owned: OwnedService, service: ServiceFile): void {
		const cfg = this.#options.config.current;
		const instances = service.places
			.filter(place => place.region === this.#options.region && cfg?.isDrained('zone', place.zone) !== true && cfg?.isDrained('region', place.region) !== true)
			.flatMap(place => place.instances.map(instance => ({...instance, zone: place.zone, slots: place.slots})))
			.filter(instance => cfg?.isDrained('instance', instance.id) !== true);
		this.#runEffects(owned, owned.dispatcher.configure(service.classes, instances, this.#options.clock.nowMs()));
	}

	/**
	 * Releases the services that another host owns now. Queued requests are refused, so that their senders retry them at
	 * the new owner.
	 */
	#releaseServices(): void {
		const {members, logger} = this.#options;
		for (const [name, owned] of this.#ownedServices) {
			if (members.isSelf(members.ownerOf(name))) {
				continue;
			}

			for (const effect of owned.dispatcher.refuseQueued('the slots of the service have a new owner')) {
				this.#settle(owned, effect.arrivalId, refusal('not_owner', 'the slots of the service have a new owner'));
			}

			if (owned.pending.size === 0) {
				this.#ownedServices.delete(name);
				logger.info('this host released the slots of a service', {service: name});
			}
		}
	}

	#runEffects(owned: OwnedService, effects: DispatcherEffects): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'start': {
					void this.#call(owned, effect.arrivalId, effect.instanceId, effect.address);
					break;
				}

				case 'refuse': {
					this.#settle(owned, effect.arrivalId, {
						kind: 'not-run', reason: effect.reason, detail: effect.detail, retryAfterMs: effect.retryAfterMs,
					});
					break;
				}
			}
		}
	}

	#settle(owned: OwnedService, arrivalId: string, outcome: Outcome): void {
		const pending = owned.pending.get(arrivalId);
		owned.pending.delete(arrivalId);
		pending?.resolve(overallOutcome(outcome, pending.mayHaveRun));
	}

	#cancel(owned: OwnedService, pending: PendingRequest): void {
		if (owned.dispatcher.cancel(pending.id)) {
			this.#settle(owned, pending.id, refusal('cancelled', 'the caller closed the connection before the request started'));
			return;
		}

		pending.controller.abort();
	}

	async #call(owned: OwnedService, arrivalId: string, instanceId: string, address: string): Promise<void> {
		const {clock, upstream, tracer, config, metrics} = this.#options;
		const pending = owned.pending.get(arrivalId);
		if (pending === undefined) {
			throw new Error(`expected request ${arrivalId} to be pending when it starts`);
		}

		const {job} = pending;
		const startMs = clock.nowMs();
		const remainingMs = job.deadlineMs - startMs;
		const span = tracer.start('upstream', job.head.traceparent, {instance: instanceId});
		const result = await upstream.call({
			address,
			head: {...job.head, traceparent: span.traceparent},
			body: job.body,
			isRepeatable: job.isRepeatable,
			remainingMs: job.isRepeatable ? Math.min(remainingMs, this.#overdueMs(job)) : remainingMs,
			shedMeansNotRun: config.current?.service(job.head.service)?.service.shedMeansNotRun ?? false,
			signal: pending.controller.signal,
		});
		span.end(result.outcome.kind);
		metrics.observe('upstream_seconds', {service: job.head.service, class: job.head.className}, clock.nowMs() - startMs);
		await this.#handleResult(owned, pending, {id: instanceId, address}, result);
	}

	async #handleResult(owned: OwnedService, pending: PendingRequest, instance: Instance, result: UpstreamResult): Promise<void> {
		const {clock, quarantine} = this.#options;
		const {head} = pending.job;
		if (result.outcome.kind === 'whole') {
			owned.lastResponseMs.set(instance.id, clock.nowMs());
			quarantine.clearAfterResponse(head.fingerprint, head.service);
		}

		if (result.isLeaving) {
			this.#runEffects(owned, owned.dispatcher.recordState(instance.id, 'leaving', clock.nowMs()));
		}

		if (result.mayHaveCrashed) {
			await quarantine.reportCrash(head.fingerprint, head.service, instance.id);
		}

		const attemptEnd = classifyResult(result, pending.job.isRepeatable);
		if (attemptEnd.result === 'overdue') {
			void this.#probe(owned, instance.id, instance.address);
		}

		const isBlocked = quarantine.isBlocked(head.fingerprint);
		const isRetryWanted = attemptEnd.isRetriable && !isBlocked && !pending.controller.signal.aborted;
		owned.dispatcher.hold(!this.#options.members.isConfident());
		const {effects, isRetrying} = owned.dispatcher.finished(pending.id, attemptEnd.result, isRetryWanted, clock.nowMs());
		if (isRetrying) {
			pending.mayHaveRun ||= result.outcome.kind === 'unknown';
		} else {
			this.#settle(owned, pending.id, result.outcome);
		}

		this.#runEffects(owned, effects);
		if (owned.pending.size === 0) {
			this.#releaseServices();
		}
	}

	/**
	 * Returns the time, in milliseconds, after which a repeatable request without a response is considered lost, such as
	 * on a connection that no longer delivers data.
	 */
	#overdueMs(job: Job): number {
		return Math.max(minOverdueMs, 2 * this.#targetMs(job));
	}

	#targetMs(job: Job): number {
		const def = this.#options.config.current?.service(job.head.service)?.classes.find(item => item.name === job.head.className);
		return def?.targetMs ?? minOverdueMs;
	}

	/** Sends queued requests that have waited longer than their class's target to regions that have granted credits. */
	#shiftWaiting(): void {
		const {clock, shift} = this.#options;
		const nowMs = clock.nowMs();
		for (const [service, owned] of this.#ownedServices) {
			const targets = new Map(this.#options.config.current?.service(service)?.classes.map(def => [def.name, def.targetMs]));
			const targetMsOf = (className: string) => targets.get(className) ?? Number.POSITIVE_INFINITY;
			while (owned.creditBalance.hasCredit(nowMs)) {
				const id = owned.dispatcher.takeWaiting(targetMsOf, nowMs);
				const pending = id === undefined ? undefined : owned.pending.get(id);
				const region = pending === undefined ? undefined : owned.creditBalance.take(pending.job.body.byteLength, nowMs);
				if (pending === undefined || region === undefined) {
					break;
				}

				void shift.send(region, pending.job).then(outcome => {
					this.#settle(owned, pending.id, outcome);
				});
			}
		}
	}

	#requestCredits(): void {
		const {shift, clock} = this.#options;
		for (const [service, owned] of this.#ownedServices) {
			if (!owned.creditBalance.hasDemand(clock.nowMs())) {
				continue;
			}

			for (const {region, want} of owned.creditBalance.dueCreditRequests(shift.reachableRegionsFor(service), clock.nowMs())) {
				void shift.requestCredits(service, region, want, owned.creditBalance);
			}
		}
	}

	#checkHealth(): void {
		const nowMs = this.#options.clock.nowMs();
		for (const owned of this.#ownedServices.values()) {
			for (const [address, id] of this.#instanceIds(owned)) {
				if (nowMs - (owned.lastResponseMs.get(id) ?? Number.NEGATIVE_INFINITY) >= healthIntervalMs) {
					void this.#probe(owned, id, address);
				}
			}
		}
	}

	async #probe(owned: OwnedService, instanceId: string, address: string): Promise<void> {
		const {upstream, clock} = this.#options;
		const startMs = clock.nowMs();
		const health = await upstream.health(address);
		if (health.state !== 'unreachable') {
			owned.dispatcher.recordRoundTrip(clock.nowMs() - startMs);
		}

		this.#runEffects(owned, owned.dispatcher.recordState(instanceId, health.state, clock.nowMs()));
	}

	/** Returns the ids of the service's instances in this region, by address. */
	#instanceIds(owned: OwnedService): Map<string, string> {
		return new Map(owned.dispatcher.instances(this.#options.clock.nowMs()).map(instance => [instance.address, instance.id]));
	}
}

function refusal(reason: (Outcome & {kind: 'not-run'})['reason'], detail: string): Outcome {
	return {
		kind: 'not-run', reason, detail, retryAfterMs: 0,
	};
}

/** Classifies the result of an attempt for the slot accounting, and returns whether another attempt is safe and could succeed. */
function classifyResult(result: UpstreamResult, isRepeatable: boolean): {readonly result: Parameters<Dispatcher['finished']>[1]; readonly isRetriable: boolean} {
	return match(result.outcome)
		.returnType<ReturnType<typeof classifyResult>>()
		.with({kind: 'whole'}, () => ({result: 'done', isRetriable: false}))
		.with({kind: 'not-run', reason: 'shed'}, () => ({result: 'shed', isRetriable: true}))
		.with({kind: 'not-run'}, () => ({result: 'unreachable', isRetriable: true}))
		.with({kind: 'unknown', reason: 'connection_lost'}, () => ({result: 'lost', isRetriable: isRepeatable}))
		.with({kind: 'unknown', reason: 'cancelled'}, () => ({result: 'cancelled', isRetriable: false}))
		.with({kind: 'unknown', reason: 'answer_too_large'}, () => ({result: 'done', isRetriable: false}))
		.with({kind: 'unknown'}, () => ({result: 'overdue', isRetriable: isRepeatable}))
		.exhaustive();
}

import {setTimeout as delay} from 'node:timers/promises';
import {match} from 'ts-pattern';
import {type Configuration} from '../config/configuration.js';
import {type ServiceFile} from '../config/service-file.js';
import {type Clock} from '../contracts/clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {type Upstream} from '../contracts/upstream.js';
import {type Grant} from '../contracts/grant.js';
import {Dispatcher} from '../decisions/dispatcher.js';
import {honestOutcome} from '../decisions/honest-outcome.js';
import {GrantBook} from '../decisions/grant-book.js';
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

type Effects = ReturnType<Dispatcher['tick']>;
type Instance = {readonly id: string; readonly address: string};
type UpstreamResult = Awaited<ReturnType<Upstream['call']>>;

/** A request in the dispatcher's hands, and how to tell its end. */
type Pending = {
	readonly id: string;
	readonly job: Job;
	readonly controller: AbortController;
	readonly resolve: (outcome: Outcome) => void;
	/** Whether a try ended without proof that the request did not run. */
	mayHaveRun: boolean;
};

/** A service that this host owns, or owned until its last request ends. */
type Owned = {
	readonly dispatcher: Dispatcher;
	readonly pending: Map<string, Pending>;
	/** Credits that this owner gives to other regions, and holds from them. */
	readonly issuer: GrantIssuer;
	readonly book: GrantBook;
	/** Moment at which each instance was last heard from, in monotonic milliseconds. */
	readonly heardMs: Map<string, number>;
};

const tickMs = 20;
/** Time that a refused request waits for credits from another region before it is tried again, in milliseconds. */
const parkMs = 40;
const maxParked = 500;
/** Refusals after which another region, or this one a little later, may still answer in time. */
const overflowReasons = new Set<string>(['deadline_unreachable', 'deadline_expired', 'queue_full', 'no_upstream', 'peer_unreachable', 'paused']);
const healthIntervalMs = 1000;
/** Time during which a new owner uses half of the slots, in milliseconds. */
const takeoverMs = 1000;
const initialServiceMs = 20;
/** Shortest time after which an unanswered repeatable request is taken for lost, in milliseconds. */
const shortestOverdueMs = 500;

/** Owns the slots of the services that fall to this host: queues, calls instances, watches their health. */
export class DispatchService {
	readonly #options: DispatchOptions;
	readonly #owned = new Map<string, Owned>();
	/** Requests refused here that wait for credits from another region. */
	#parked = 0;
	#arrivals = 0;

	constructor(options: DispatchOptions) {
		this.#options = options;
	}

	/** Requests that this host's dispatchers hold. */
	get pending(): number {
		let total = 0;
		for (const owned of this.#owned.values()) {
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
			this.#releaseLost();
		});
		lifecycle.every('dispatch tick', tickMs, () => {
			const isHeld = !members.isConfident();
			for (const owned of this.#owned.values()) {
				owned.dispatcher.hold(isHeld);
				this.#run(owned, owned.dispatcher.tick(this.#options.clock.nowMs()));
			}

			this.#redistribute();
			this.#askForCredits();
		});
		lifecycle.every('instance health', healthIntervalMs, () => {
			this.#checkHealth();
		});
	}

	/** Dispatchers of the services that this host owns, by service name. */
	dispatchers(): ReadonlyMap<string, Dispatcher> {
		return new Map([...this.#owned].map(([name, owned]) => [name, owned.dispatcher]));
	}

	/** Runs a request on an instance of the region; only the owner of the service's slots does. */
	async submit(job: Job): Promise<Outcome> {
		if (job.work.region === this.#options.region) {
			return this.#runOwn(job);
		}

		const claim = this.#claim(job);
		if (!claim.success) {
			return claim.error;
		}

		const {issuer} = claim.data;
		issuer.arrived(job.work.region);
		const outcome = await this.#runHere(claim.data, job);
		issuer.answered(job.work.region, job.body.byteLength + (outcome.kind === 'whole' ? outcome.body.byteLength : 0));
		return outcome;
	}

	/** Gives another region leave to send requests of a service; only the service's owner does. */
	grant(serviceName: string, from: string, want: number): Grant {
		const {members, config, clock, shift} = this.#options;
		const service = config.current?.service(serviceName);
		const budget = shift.linkBudget(from);
		const isOwner = members.isConfident() && members.isSelf(members.ownerOf(serviceName));
		if (service === undefined || budget === undefined || !isOwner) {
			return {requests: 0, bytes: 0, validMs: 0};
		}

		const owned = this.#ownedOf(serviceName, service);
		const nowMs = clock.nowMs();
		return owned.issuer.issue({
			from, want, headroom: owned.dispatcher.headroom(nowMs), ...budget,
		}, nowMs);
	}

	/** The service's slots, if this host may dispatch a request on them now; else why it may not. */
	#claim(job: Job): Result<Owned, Outcome> {
		const {members, quarantine, config} = this.#options;
		const {work} = job;
		const service = config.current?.service(work.service);
		if (!members.isConfident()) {
			return {success: false, error: refusal('paused', 'this host was paused and is finding out what it still owns')};
		}

		if (!members.isSelf(members.ownerOf(work.service))) {
			return {success: false, error: refusal('not_owner', 'another host owns the slots of the service')};
		}

		if (service === undefined) {
			return {success: false, error: refusal('unknown_service', `no service is named ${work.service}`)};
		}

		if (quarantine.isBlocked(work.fingerprint)) {
			return {success: false, error: refusal('quarantined', 'the request broke several upstreams; an operator can lift this')};
		}

		return {success: true, data: this.#ownedOf(work.service, service)};
	}

	/** Runs a request of the own region here, or elsewhere on a credit when the wait here is beyond its class's target. */
	async #runOwn(job: Job): Promise<Outcome> {
		const {clock, shift} = this.#options;
		for (;;) {
			// Asked again after each pause: the slots may have a new owner by then.
			const claim = this.#claim(job);
			if (!claim.success) {
				return claim.error;
			}

			const owned = claim.data;
			const nowMs = clock.nowMs();
			const isLate = owned.dispatcher.expectedWait(job.work.className, job.work.caller, nowMs) > this.#targetMs(job);
			const region = isLate ? owned.book.take(job.body.byteLength, nowMs) : undefined;
			const outcome = region === undefined ? await this.#runHere(owned, job) : await shift.send(region, job);
			if (!this.#isWorthParking(job, owned, outcome)) {
				return outcome;
			}

			this.#parked++;
			await delay(parkMs);
			this.#parked--;
		}
	}

	/** Whether a refused request may still be answered in time, here or elsewhere. */
	#isWorthParking(job: Job, owned: Owned, outcome: Outcome): boolean {
		if (outcome.kind !== 'not-run' || !overflowReasons.has(outcome.reason)) {
			return false;
		}

		const {clock, shift} = this.#options;
		const isInTime = clock.nowMs() + parkMs + owned.dispatcher.serviceMs < job.deadlineMs;
		const hasElsewhere = shift.regionsFor(job.work.service).length > 0;
		return isInTime && hasElsewhere && !job.signal.aborted && this.#parked < maxParked;
	}

	async #runHere(owned: Owned, job: Job): Promise<Outcome> {
		const {clock} = this.#options;
		const {work} = job;
		// A second copy of a request can arrive while the first still waits, so each arrival has an id of its own.
		this.#arrivals++;
		const id = `${work.requestId}/${this.#arrivals}`;
		return new Promise<Outcome>(resolve => {
			const pending: Pending = {
				id, job, controller: new AbortController(), resolve, mayHaveRun: false,
			};
			owned.pending.set(id, pending);
			job.signal.addEventListener('abort', () => {
				this.#cancel(owned, pending);
			}, {once: true});
			const effects = owned.dispatcher.arrive({
				id, className: work.className, caller: work.caller, deadlineMs: job.deadlineMs, bytes: job.body.byteLength,
			}, clock.nowMs());
			this.#run(owned, effects);
		});
	}

	#ownedOf(name: string, service: ServiceFile): Owned {
		let owned = this.#owned.get(name);
		if (owned === undefined) {
			const dispatcher = new Dispatcher({maxQueued: this.#options.maxQueued, takeoverMs, initialServiceMs}, this.#options.clock.nowMs(), true);
			owned = {
				dispatcher, pending: new Map(), issuer: new GrantIssuer(), book: new GrantBook(), heardMs: new Map(),
			};
			this.#owned.set(name, owned);
			this.#options.logger.info('this host owns the slots of a service', {service: name});
			this.#configure(owned, service);
		}

		return owned;
	}

	#configureAll(cfg: Configuration): void {
		for (const [name, owned] of this.#owned) {
			const service = cfg.service(name);
			if (service === undefined) {
				this.#run(owned, owned.dispatcher.configure([], [], this.#options.clock.nowMs()));
			} else {
				this.#configure(owned, service);
			}
		}
	}

	#configure(owned: Owned, service: ServiceFile): void {
		const cfg = this.#options.config.current;
		const instances = service.places
			.filter(place => place.region === this.#options.region && cfg?.isDrained('zone', place.zone) !== true && cfg?.isDrained('region', place.region) !== true)
			.flatMap(place => place.instances.map(instance => ({...instance, zone: place.zone, slots: place.slots})))
			.filter(instance => cfg?.isDrained('instance', instance.id) !== true);
		this.#run(owned, owned.dispatcher.configure(service.classes, instances, this.#options.clock.nowMs()));
	}

	/** Gives up the services that another host owns now: what waits goes back to be sent there. */
	#releaseLost(): void {
		const {members, logger} = this.#options;
		for (const [name, owned] of this.#owned) {
			if (members.isSelf(members.ownerOf(name))) {
				continue;
			}

			for (const effect of owned.dispatcher.refuseQueued('the slots of the service have a new owner')) {
				this.#settle(owned, effect.workId, refusal('not_owner', 'the slots of the service have a new owner'));
			}

			if (owned.pending.size === 0) {
				this.#owned.delete(name);
				logger.info('this host gave up the slots of a service', {service: name});
			}
		}
	}

	#run(owned: Owned, effects: Effects): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'start': {
					void this.#call(owned, effect.workId, effect.instanceId, effect.address);
					break;
				}

				case 'refuse': {
					this.#settle(owned, effect.workId, {
						kind: 'not-run', reason: effect.reason, detail: effect.detail, retryAfterMs: effect.retryAfterMs,
					});
					break;
				}
			}
		}
	}

	#settle(owned: Owned, workId: string, outcome: Outcome): void {
		const pending = owned.pending.get(workId);
		owned.pending.delete(workId);
		pending?.resolve(honestOutcome(outcome, pending.mayHaveRun));
	}

	#cancel(owned: Owned, pending: Pending): void {
		if (owned.dispatcher.cancel(pending.id)) {
			this.#settle(owned, pending.id, refusal('cancelled', 'the caller left before the request started'));
			return;
		}

		pending.controller.abort();
	}

	async #call(owned: Owned, workId: string, instanceId: string, address: string): Promise<void> {
		const {clock, upstream, tracer, config, metrics} = this.#options;
		const pending = owned.pending.get(workId);
		if (pending === undefined) {
			throw new Error(`request ${workId} starts without being pending`);
		}

		const {job} = pending;
		const startMs = clock.nowMs();
		const remainingMs = job.deadlineMs - startMs;
		const span = tracer.start('upstream', job.work.traceparent, {instance: instanceId});
		const result = await upstream.call({
			address,
			work: {...job.work, traceparent: span.traceparent},
			body: job.body,
			isRepeatable: job.isRepeatable,
			remainingMs: job.isRepeatable ? Math.min(remainingMs, this.#overdueMs(job)) : remainingMs,
			shedMeansNotRun: config.current?.service(job.work.service)?.service.shedMeansNotRun ?? false,
			signal: pending.controller.signal,
		});
		span.end(result.outcome.kind);
		metrics.observe('upstream_seconds', {service: job.work.service, class: job.work.className}, clock.nowMs() - startMs);
		await this.#takeResult(owned, pending, {id: instanceId, address}, result);
	}

	async #takeResult(owned: Owned, pending: Pending, instance: Instance, result: UpstreamResult): Promise<void> {
		const {clock, quarantine} = this.#options;
		const {work} = pending.job;
		if (result.outcome.kind === 'whole') {
			owned.heardMs.set(instance.id, clock.nowMs());
			quarantine.clearAnswered(work.fingerprint, work.service);
		}

		if (result.isLeaving) {
			this.#run(owned, owned.dispatcher.observe(instance.id, 'leaving', clock.nowMs()));
		}

		if (result.isCrashSign) {
			await quarantine.strike(work.fingerprint, work.service, instance.id);
		}

		const end = describeEnd(result, pending.job.isRepeatable);
		if (end.result === 'overdue') {
			void this.#probe(owned, instance.id, instance.address);
		}

		const isBlocked = quarantine.isBlocked(work.fingerprint);
		const isRetryWanted = end.isRetriable && !isBlocked && !pending.controller.signal.aborted;
		owned.dispatcher.hold(!this.#options.members.isConfident());
		const {effects, isRetrying} = owned.dispatcher.finished(pending.id, end.result, isRetryWanted, clock.nowMs());
		if (isRetrying) {
			pending.mayHaveRun ||= result.outcome.kind === 'unknown';
		} else {
			this.#settle(owned, pending.id, result.outcome);
		}

		this.#run(owned, effects);
		if (owned.pending.size === 0) {
			this.#releaseLost();
		}
	}

	/** Time after which a repeatable request is taken for lost, such as on a connection that went silent. */
	#overdueMs(job: Job): number {
		return Math.max(shortestOverdueMs, 2 * this.#targetMs(job));
	}

	#targetMs(job: Job): number {
		const def = this.#options.config.current?.service(job.work.service)?.classes.find(item => item.name === job.work.className);
		return def?.targetMs ?? shortestOverdueMs;
	}

	/** Sends away requests that wait here beyond their class's target while other regions have granted credits. */
	#redistribute(): void {
		const {clock, shift} = this.#options;
		const nowMs = clock.nowMs();
		for (const [service, owned] of this.#owned) {
			const targets = new Map(this.#options.config.current?.service(service)?.classes.map(def => [def.name, def.targetMs]));
			const patience = (className: string) => targets.get(className) ?? Number.POSITIVE_INFINITY;
			while (owned.book.hasCredit(nowMs)) {
				const id = owned.dispatcher.takeWaiting(patience, nowMs);
				const pending = id === undefined ? undefined : owned.pending.get(id);
				const region = pending === undefined ? undefined : owned.book.take(pending.job.body.byteLength, nowMs);
				if (pending === undefined || region === undefined) {
					break;
				}

				void shift.send(region, pending.job).then(outcome => {
					this.#settle(owned, pending.id, outcome);
				});
			}
		}
	}

	#askForCredits(): void {
		const {shift, clock} = this.#options;
		for (const [service, owned] of this.#owned) {
			if (!owned.book.isWishing(clock.nowMs())) {
				continue;
			}

			for (const {region, want} of owned.book.asks(shift.regionsFor(service), clock.nowMs())) {
				void shift.ask(service, region, want, owned.book);
			}
		}
	}

	#checkHealth(): void {
		const nowMs = this.#options.clock.nowMs();
		for (const owned of this.#owned.values()) {
			for (const [address, id] of this.#instanceIds(owned)) {
				if (nowMs - (owned.heardMs.get(id) ?? Number.NEGATIVE_INFINITY) >= healthIntervalMs) {
					void this.#probe(owned, id, address);
				}
			}
		}
	}

	async #probe(owned: Owned, instanceId: string, address: string): Promise<void> {
		const {upstream, clock} = this.#options;
		const startMs = clock.nowMs();
		const health = await upstream.health(address);
		if (health.state !== 'unreachable') {
			owned.dispatcher.observeTransit(clock.nowMs() - startMs);
		}

		this.#run(owned, owned.dispatcher.observe(instanceId, health.state, clock.nowMs()));
	}

	/** Ids of the service's instances in this region, by address. */
	#instanceIds(owned: Owned): Map<string, string> {
		return new Map(owned.dispatcher.instances(this.#options.clock.nowMs()).map(instance => [instance.address, instance.id]));
	}
}

function refusal(reason: (Outcome & {kind: 'not-run'})['reason'], detail: string): Outcome {
	return {
		kind: 'not-run', reason, detail, retryAfterMs: 0,
	};
}

/** How a try ended for the slot count, and whether another try could help without breaking a promise. */
function describeEnd(result: UpstreamResult, isRepeatable: boolean): {readonly result: Parameters<Dispatcher['finished']>[1]; readonly isRetriable: boolean} {
	return match(result.outcome)
		.returnType<ReturnType<typeof describeEnd>>()
		.with({kind: 'whole'}, () => ({result: 'done', isRetriable: false}))
		.with({kind: 'not-run', reason: 'shed'}, () => ({result: 'shed', isRetriable: true}))
		.with({kind: 'not-run'}, () => ({result: 'unreachable', isRetriable: true}))
		.with({kind: 'unknown', reason: 'connection_lost'}, () => ({result: 'lost', isRetriable: isRepeatable}))
		.with({kind: 'unknown', reason: 'cancelled'}, () => ({result: 'cancelled', isRetriable: false}))
		.with({kind: 'unknown', reason: 'answer_too_large'}, () => ({result: 'done', isRetriable: false}))
		.with({kind: 'unknown'}, () => ({result: 'overdue', isRetriable: isRepeatable}))
		.exhaustive();
}

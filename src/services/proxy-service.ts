import {type InstanceClient} from '../adapters/instance-client.js';
import {type Clock} from '../contracts/clock.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type Route} from '../contracts/route.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {type Placement} from '../decisions/placement.js';
import {hashText} from '../decisions/hash-text.js';
import {type RetryShare} from '../decisions/retry-share.js';
import {RouteTimes} from '../decisions/route-times.js';
import {type SeededRandom} from '../decisions/seeded-random.js';
import {SendPlan} from '../decisions/send-plan.js';
import {fingerprintOf} from './fingerprint-of.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {type PlannerService} from './planner-service.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyRequest} from './proxy-request.js';
import {type QuarantineService} from './quarantine-service.js';
import {type SteeringService} from './steering-service.js';

type ProxyOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly steering: SteeringService;
	readonly placement: Placement;
	readonly client: InstanceClient;
	readonly retries: RetryShare;
	readonly quarantine: QuarantineService;
	readonly planner: PlannerService;
	readonly random: SeededRandom;
	/** Region of this host. */
	readonly region: string;
	/** Hosts that may be sending to the same services. */
	readonly hosts: () => number;
	/** Requests a second that all hosts together may send to a cold instance that tolerates some. */
	readonly coldLimit: (coldPerSecond: number) => number;
};

/** One request on its way, with what its sends showed so far. */
type Passage = {
	readonly req: ProxyRequest;
	readonly route: Route;
	readonly service: string;
	readonly body: SentBody;
	readonly fingerprint: string;
	readonly deadlineMs: number;
	readonly plan: SendPlan;
	readonly tried: Set<string>;
};

/** Time of a send, the wait that was expected at its start, and the moment of its end, in milliseconds. */
type Times = {readonly tookMs: number; readonly expectedWaitMs: number; readonly nowMs: number};

type ReadBody = Awaited<ReturnType<ProxyRequest['readBody']>>;
type SentBody = Extract<ReadBody, {kind: 'none' | 'whole' | 'stream'}>;
type Entry = NonNullable<ReturnType<InstanceTable['get']>>;

/** Request bodies up to this size are held, so that they can be sent once more, in bytes. */
const maxHeldBodyBytes = 65_536;
const noConfigurationRetryMs = 500;
/** Time after which a client may come back, by what kept its request from being sent, in milliseconds. */
const retryMs = {
	timeout: 250, shed: 250, no_upstream: 500, retry_budget: 250, busy: 50,
} as const;
const longestRetryMs = 2000;
/** Part of that time over which returns are spread, so that they do not come as a wave. */
const retrySpread = 0.5;
const quarantineRetryMs = 60_000;
/** Part of the time until a send was given up above which an expected wait explains it. */
const longWaitPart = 0.5;
/** One in so many requests that are answered in time is logged. */
const sampledOneIn = 64;

/** Brings a client's request for a published route to one of its instances and back. */
export class ProxyService {
	readonly #options: ProxyOptions;
	readonly #routeTimes = new RouteTimes();
	#inFlight = 0;

	constructor(options: ProxyOptions) {
		this.#options = options;
	}

	/** Requests without an outcome yet. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Brings one request to its outcome. */
	async handle(req: ProxyRequest): Promise<ProxyOutcome> {
		const {metrics, clock} = this.#options;
		this.#inFlight++;
		try {
			const route = this.#routeOf(req);
			const outcome = await this.#handle(req, route);
			const tookMs = clock.nowMs() - req.arrivedMs;
			const reason = 'reason' in outcome ? outcome.reason : '';
			metrics.count('proxied_requests', {outcome: outcome.kind, reason});
			metrics.observe('proxied_seconds', {outcome: outcome.kind}, tookMs);
			this.#logEnd({
				req, route, outcome, tookMs: Math.round(tookMs),
			});
			return outcome;
		} finally {
			this.#inFlight--;
		}
	}

	/** Logs each request that got no answer or a late one, and a sample of the others: the same ones at every host. */
	#logEnd({req, route, outcome, tookMs}: {readonly req: ProxyRequest; readonly route: Route | undefined; readonly outcome: ProxyOutcome; readonly tookMs: number}): void {
		const {logger} = this.#options;
		const fields = {
			request: req.requestId, route: route?.name, priority: route?.priority, targetMs: route?.targetMs, tookMs,
		};
		if (outcome.kind !== 'answer') {
			logger.request('request ended without an answer of an instance', {...fields, outcome: outcome.kind, reason: outcome.reason});
		} else if (route !== undefined && tookMs > route.targetMs) {
			logger.request('request answered late', {...fields, status: outcome.result.status});
		} else if (hashText(req.requestId ?? '') % sampledOneIn === 0) {
			logger.request('request answered', {...fields, status: outcome.result.status});
		}
	}

	#routeOf(req: ProxyRequest): Route | undefined {
		const [path] = req.target.split('?', 1);
		return this.#options.steering.match(req.host, path!);
	}

	async #handle(req: ProxyRequest, route: Route | undefined): Promise<ProxyOutcome> {
		const {steering, quarantine} = this.#options;
		const table = steering.routes;
		if (table === undefined) {
			return {kind: 'not_run', reason: 'not_ready', retryAfterMs: noConfigurationRetryMs};
		}

		const service = route === undefined ? undefined : steering.serviceOf(route);
		if (route === undefined || service === undefined) {
			return {kind: 'invalid', reason: 'no_route'};
		}

		if (req.requestId === undefined) {
			return {kind: 'invalid', reason: 'no_request_id'};
		}

		const body = await req.readBody(maxHeldBodyBytes);
		if (body.kind === 'too_large') {
			return {kind: 'invalid', reason: 'body_too_large'};
		}

		if (body.kind === 'broken') {
			return {kind: 'invalid', reason: 'broken_off'};
		}

		const fingerprint = fingerprintOf({
			service, method: req.method, path: req.target, body: body.kind === 'whole' ? body.bytes : undefined,
		});
		if (quarantine.isBlocked(fingerprint)) {
			return {kind: 'not_run', reason: 'quarantined', retryAfterMs: quarantineRetryMs};
		}

		this.#options.retries.countFirst(service, this.#options.clock.nowMs());
		if (route.hasAffinity && req.objectKey !== undefined) {
			this.#options.planner.countRequest({
				service, route: route.prefix, priority: route.priority, objectKey: req.objectKey, allowedRegions: route.allowedRegions,
			});
		}

		return this.#pass({
			req,
			route,
			service,
			body,
			fingerprint,
			deadlineMs: req.arrivedMs + Math.min(req.remainingMs ?? Number.POSITIVE_INFINITY, route.timeoutMs),
			plan: new SendPlan({isRepeatable: route.isRepeatable && body.kind !== 'stream', maxAttempts: route.maxAttempts}),
			tried: new Set(),
		});
	}

	/** Sends until an instance answers or nothing more may be tried. */
	async #pass(passage: Passage): Promise<ProxyOutcome> {
		const {clock, retries, hosts} = this.#options;
		const {req, plan, service, deadlineMs, tried} = passage;
		let last: InstanceResult | undefined;
		for (;;) {
			const nowMs = clock.nowMs();
			if (req.departure.aborted) {
				return {kind: 'unknown', reason: 'cancelled'};
			}

			if (nowMs >= deadlineMs) {
				return this.#giveUp(plan, last, 'timeout');
			}

			const choice = this.#choose(passage, nowMs);
			if (choice.kind === 'none') {
				return this.#giveUp(plan, last, last === undefined ? 'no_upstream' : 'shed');
			}

			if (choice.kind === 'busy') {
				return this.#giveUp(plan, last, 'busy', choice.excessMs);
			}

			if (plan.isRepeat && !retries.take(service, hosts(), nowMs)) {
				return this.#giveUp(plan, last, 'retry_budget');
			}

			tried.add(choice.entry.instance.id);
			last = await this.#send(passage, choice.entry, choice.waitMs);
			if (last.kind === 'whole' || last.kind === 'partial') {
				plan.ended('answered');
				return {kind: 'answer', result: last};
			}

			if (!plan.ended(toSendResult(last)) || passage.body.kind === 'stream') {
				return this.#giveUp(plan, last, last.kind === 'overdue' ? 'timeout' : 'shed');
			}
		}
	}

	#choose(passage: Passage, nowMs: number): ReturnType<Placement['choose']> {
		const {placement, steering, coldLimit} = this.#options;
		const {req, route, service, tried, deadlineMs} = passage;
		return placement.choose({
			service,
			objectKey: route.hasAffinity ? req.objectKey : undefined,
			priority: route.priority,
			isRepeatable: route.isRepeatable,
			allowedRegions: route.allowedRegions,
			avoid: tried,
			coldPerSecond: coldLimit(steering.routes?.services.get(service)?.coldPerSecond ?? 0),
			leftMs: deadlineMs - nowMs,
			runMs: this.#routeTimes.get(routeKey(service, route)),
		}, nowMs);
	}

	async #send(passage: Passage, entry: Entry, expectedWaitMs: number): Promise<InstanceResult> {
		const {clock, client, metrics, logger} = this.#options;
		const {req, body, service, deadlineMs} = passage;
		const {id, address} = entry.instance;
		const startMs = clock.nowMs();
		entry.health.started(startMs);
		entry.queue.sent(startMs);
		const pending = this.#notePending(passage, entry, startMs + expectedWaitMs);
		const result = await client.send({
			address,
			instanceId: id,
			requestId: req.requestId!,
			method: req.method,
			target: req.target,
			headers: req.headers,
			body: toSent(body),
			remainingMs: Math.max(1, deadlineMs - startMs),
			departure: req.departure,
		});
		pending?.end();
		const nowMs = clock.nowMs();
		metrics.observe('instance_seconds', {service, result: result.kind}, nowMs - startMs);
		entry.health.ended(toSendEnd(result), nowMs);
		this.#noteCrashSign(passage, id, result);
		if ('info' in result && result.kind !== 'not_run') {
			this.#routeTimes.learn(routeKey(service, passage.route), Math.max(0, nowMs - startMs - expectedWaitMs));
		}

		noteLoad(entry, result, {tookMs: nowMs - startMs, expectedWaitMs, nowMs});
		this.#noteSpeed(passage, entry, result, {tookMs: nowMs - startMs, expectedWaitMs, nowMs});
		if ('info' in result && result.kind !== 'not_run' && (result.info.load?.waiting ?? 0) === 0) {
			this.#options.planner.countAnswer(service, passage.route.prefix, nowMs - startMs);
		}

		if (result.kind !== 'whole' && result.kind !== 'partial') {
			logger.request('a send brought no answer', {
				request: req.requestId,
				instance: id,
				address,
				isRepeat: passage.plan.isRepeat,
				remainingMs: Math.round(deadlineMs - startMs),
				result: result.kind,
				detail: 'detail' in result ? result.detail : '',
				tookMs: Math.round(nowMs - startMs),
			});
		}

		return result;
	}

	/** Notes a send to an instance of this region whose speed can be told from its route's other runs. */
	#notePending({req, route, service}: Passage, {instance, region}: Entry, expectedEndOfWaitMs: number): {readonly end: () => void} | undefined {
		return route.hasAffinity && req.objectKey !== undefined && region === this.#options.region
			? this.#options.planner.speeds.started({
				instanceId: instance.id, route: routeKey(service, route), objectKey: req.objectKey, expectedEndOfWaitMs,
			})
			: undefined;
	}

	/** Tells how fast an instance of this region was; a send that was given up counts with its time if it should not have waited long. */
	#noteSpeed({req, route, service}: Passage, {instance, region}: Entry, result: InstanceResult, {tookMs, expectedWaitMs, nowMs}: Times): void {
		const {planner, region: ownRegion} = this.#options;
		const isWhole = 'info' in result && result.kind !== 'not_run' && (result.info.load?.waiting ?? 0) === 0;
		const isGivenUp = (result.kind === 'overdue' || result.kind === 'cancelled') && expectedWaitMs < tookMs * longWaitPart;
		if (route.hasAffinity && req.objectKey !== undefined && region === ownRegion && (isWhole || isGivenUp)) {
			planner.speeds.count({
				instanceId: instance.id, route: routeKey(service, route), objectKey: req.objectKey, runMs: tookMs, isEnded: isWhole,
			}, nowMs);
		}
	}

	/** A connection lost while the request ran counts against the request, a whole answer for it. */
	#noteCrashSign({fingerprint, service}: Passage, instanceId: string, result: InstanceResult): void {
		const {quarantine} = this.#options;
		if (result.kind === 'lost') {
			void quarantine.strike(fingerprint, service, instanceId);
		} else if (result.kind === 'whole') {
			quarantine.clearAnswered(fingerprint, service);
		}
	}

	/** The end of a request without an answer: "not run" only where that is proven. */
	#giveUp(plan: SendPlan, last: InstanceResult | undefined, reason: keyof typeof retryMs, excessMs = 0): ProxyOutcome {
		if (plan.mayHaveRun) {
			return {kind: 'unknown', reason: last === undefined || last.kind === 'overdue' ? 'timeout' : toUnknownReason(last)};
		}

		return {kind: 'not_run', reason, retryAfterMs: Math.min(longestRetryMs, retryMs[reason] + excessMs) * (1 + (retrySpread * this.#options.random.next()))};
	}
}

/** Names a route of a service among the times that are learned. */
function routeKey(service: string, route: Route): string {
	return `${service}|${route.prefix}`;
}

/** Takes in the load that an answer or a refusal tells of its instance. */
function noteLoad({queue}: Entry, result: InstanceResult, {tookMs, expectedWaitMs, nowMs}: Times): void {
	if (!('info' in result) || result.info.load === undefined) {
		return;
	}

	if (result.kind === 'not_run') {
		queue.told(result.info.load, nowMs);
	} else {
		queue.answered(result.info.load, tookMs, expectedWaitMs, nowMs);
	}
}

function toSent(body: SentBody): Uint8Array | AsyncIterable<Uint8Array> | undefined {
	switch (body.kind) {
		case 'whole': {
			return body.bytes;
		}

		case 'stream': {
			return body.source;
		}

		case 'none': {
			return undefined;
		}
	}
}

function toSendResult(result: InstanceResult): Parameters<SendPlan['ended']>[0] {
	switch (result.kind) {
		case 'whole':
		case 'partial': {
			return 'answered';
		}

		case 'not_run': {
			return 'rejected';
		}

		case 'not_sent': {
			return 'not_sent';
		}

		case 'broken':
		case 'lost':
		case 'overdue':
		case 'cancelled': {
			return 'unknown';
		}
	}
}

function toSendEnd(result: InstanceResult): Parameters<Entry['health']['ended']>[0] {
	switch (result.kind) {
		case 'whole':
		case 'partial': {
			return 'answered';
		}

		case 'not_run': {
			return result.info.isMisdirected ? 'misdirected' : 'rejected';
		}

		case 'not_sent': {
			return 'unreachable';
		}

		case 'lost': {
			return 'lost';
		}

		case 'broken':
		case 'overdue':
		case 'cancelled': {
			return 'overdue';
		}
	}
}

function toUnknownReason(result: InstanceResult): Extract<ProxyOutcome, {kind: 'unknown'}>['reason'] {
	switch (result.kind) {
		case 'cancelled': {
			return 'cancelled';
		}

		case 'broken': {
			return 'broken';
		}

		case 'whole':
		case 'partial':
		case 'not_run':
		case 'not_sent':
		case 'lost':
		case 'overdue': {
			return 'lost';
		}
	}
}

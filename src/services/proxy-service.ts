import {type InstanceClient} from '../adapters/instance-client.js';
import {type Clock} from '../contracts/clock.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type Route} from '../contracts/route.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {type Placement} from '../decisions/placement.js';
import {hashText} from '../decisions/hash-text.js';
import {type RetryShare} from '../decisions/retry-share.js';
import {type SeededRandom} from '../decisions/seeded-random.js';
import {SendPlan} from '../decisions/send-plan.js';
import {fingerprintOf} from './fingerprint-of.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {type PlannerService} from './planner-service.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyRequest} from './proxy-request.js';
import {type QuarantineService} from './quarantine-service.js';
import {type SendObserver} from './send-observer.js';
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
	readonly observer: SendObserver;
	readonly random: SeededRandom;
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
/** One in so many requests that are answered in time is logged. */
const sampledOneIn = 64;

/** Brings a client's request for a published route to one of its instances and back. */
export class ProxyService {
	readonly #options: ProxyOptions;
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
			return;
		}

		const answer = {
			...fields, status: outcome.result.status, instance: outcome.instanceId, expectedWaitMs: Math.round(outcome.expectedWaitMs),
		};
		if (route !== undefined && tookMs > route.targetMs) {
			logger.request('request answered late', answer);
		} else if (hashText(req.requestId ?? '') % sampledOneIn === 0) {
			logger.request('request answered', answer);
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
				return {
					kind: 'answer', result: last, instanceId: choice.entry.instance.id, expectedWaitMs: choice.waitMs,
				};
			}

			if (!plan.ended(toSendResult(last)) || passage.body.kind === 'stream') {
				return this.#giveUp(plan, last, last.kind === 'overdue' ? 'timeout' : 'shed');
			}
		}
	}

	#choose(passage: Passage, nowMs: number): ReturnType<Placement['choose']> {
		const {placement, steering, observer, coldLimit} = this.#options;
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
			runMs: observer.runMs(service, route),
		}, nowMs);
	}

	async #send(passage: Passage, entry: Entry, expectedWaitMs: number): Promise<InstanceResult> {
		const {clock, client, observer, logger} = this.#options;
		const {req, route, body, service, deadlineMs} = passage;
		const {id, address} = entry.instance;
		const remainingMs = Math.max(1, deadlineMs - clock.nowMs());
		const ended = observer.started({
			service, route, objectKey: req.objectKey, entry, expectedWaitMs,
		});
		const result = await client.send({
			address,
			instanceId: id,
			requestId: req.requestId!,
			method: req.method,
			target: req.target,
			headers: req.headers,
			body: toSent(body),
			remainingMs,
			departure: req.departure,
		});
		const tookMs = Math.round(ended(result));
		this.#noteCrashSign(passage, id, result);
		if (result.kind !== 'whole' && result.kind !== 'partial') {
			logger.request('a send brought no answer', {
				request: req.requestId,
				instance: id,
				address,
				isRepeat: passage.plan.isRepeat,
				remainingMs: Math.round(remainingMs),
				result: result.kind,
				detail: 'detail' in result ? result.detail : '',
				tookMs,
			});
		}

		return result;
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

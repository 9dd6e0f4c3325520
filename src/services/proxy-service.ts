import {type InstanceClient} from '../adapters/instance-client.js';
import {type Clock} from '../contracts/clock.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {type Placement} from '../decisions/placement.js';
import {type RetryShare} from '../decisions/retry-share.js';
import {type SeededRandom} from '../decisions/seeded-random.js';
import {scopedObjectKey} from '../decisions/scoped-object-key.js';
import {isOverBefore} from '../decisions/is-over-before.js';
import {RequestAttempts} from '../decisions/request-attempts.js';
import {type Logger} from './logger.js';
import {type LoopTurns} from './loop-turns.js';
import {type Metrics} from './metrics.js';
import {type NoticeRecorder} from './notice-recorder.js';
import {type PlannerService} from './planner-service.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyRequest} from './proxy-request.js';
import {type QuarantineService} from './quarantine-service.js';
import {type SendDecision} from './send-decision.js';
import {type QuotaService} from './quotas/quota-service.js';
import {RequestQuota} from './quotas/request-quota.js';
import {readIdentifiedBody} from './read-identified-body.js';
import {RequestAdmission} from './request-admission.js';
import {RequestLog} from './request-log.js';
import {type AttemptObserver} from './attempt-observer.js';
import {type SteeringService} from './steering-service.js';
import {toAttemptResult} from './to-attempt-result.js';
import {toUnknownReason} from './to-unknown-reason.js';

type ProxyOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'limited'>;
	readonly metrics: Pick<Metrics, 'count' | 'observe'>;
	readonly steering: Pick<SteeringService, 'routes' | 'match' | 'nextServiceOf' | 'unconfirmedMs'>;
	readonly placement: Placement;
	readonly client: Pick<InstanceClient, 'send'>;
	readonly retries: RetryShare;
	readonly quarantine: Pick<QuarantineService, 'isBlocked' | 'isSuspect' | 'reportCrash' | 'clearAfterResponse'>;
	readonly planner: Pick<PlannerService, 'recordRequest'>;
	readonly turns: Pick<LoopTurns, 'next'>;
	readonly observer: AttemptObserver;
	readonly notices: Pick<NoticeRecorder, 'recordHead'>;
	readonly quotas: Pick<QuotaService, 'take'>;
	readonly random: SeededRandom;
	/** Time without confirmation that the configuration is the latest from which requests with homes are refused, in milliseconds. */
	readonly maxUnconfirmedMs: number;
	/** Returns the number of hosts that may be sending to the same services. */
	readonly countHosts: () => number;
	/** Returns the rate, in requests per second, that all hosts together may send to a cold instance, given the rate that its service states. */
	readonly coldLimitPerSecond: (coldPerSecond: number) => number;
};

/** State of one request across its attempts. */
type RequestContext = {
	readonly req: ProxyRequest;
	readonly admission: Admitted;
	readonly service: string;
	/** Scoped key of the object that the request concerns. */
	readonly objectKey: string | undefined;
	readonly body: Extract<Awaited<ReturnType<typeof readIdentifiedBody>>, {kind: 'read'}>['body'];
	readonly deadlineMs: number;
	readonly attempts: RequestAttempts;
	readonly triedInstanceIds: Set<string>;
	readonly quota: RequestQuota;
};

type Admitted = Extract<ReturnType<RequestAdmission['admit']>, {kind: 'admitted'}>;
/** What determined a refusal for lack of capacity: by how much the expected wait is too long, the time until the deadline, and the usual run time. */
type BusyFigures = {readonly excessWaitMs: number; readonly remainingMs: number; readonly usualRunMs: number};
/** Choice that names no instance. */
type NoInstance = Exclude<ReturnType<Placement['choose']>, {kind: 'instance'}>;
type InstanceEntry = NonNullable<ReturnType<InstanceTable['get']>>;

/** Number of requests of one connection that are sent on at the same time. */
const maxPipelined = 16;
/** Time for which the rest of a body is read after the instance was lost, to identify the request; the client is sending it anyway. */
const maxRestReadMs = 1000;
/** Base of the time after which a client should retry, by the reason why its request did not run. */
const baseRetryAfterMs = {
	timeout: 250, shed: 250, no_upstream: 500, retry_budget: 250, busy: 50, stopping: 0,
} as const;
const maxBaseRetryAfterMs = 2000;
/** Up to this share of the time is added at random, so that clients do not retry all at once. */
const retryJitterShare = 0.5;
const quarantinedRetryAfterMs = 60_000;

/** Forwards clients' requests for published routes to instances, retries them within bounds, and returns their outcomes. */
export class ProxyService {
	readonly #options: ProxyOptions;
	readonly #requestLog: RequestLog;
	readonly #admission: RequestAdmission;
	#inFlight = 0;
	/** End of a planned stop, in monotonic milliseconds. */
	#finishByMs = Number.POSITIVE_INFINITY;

	constructor(options: ProxyOptions) {
		this.#options = options;
		this.#requestLog = new RequestLog(options.logger);
		this.#admission = new RequestAdmission(options);
	}

	/** Number of requests without an outcome yet. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Refuses from now on the requests that are not expected to end before `endMs`, the end of a planned stop in monotonic milliseconds. */
	finishBy(endMs: number): void {
		this.#finishByMs = endMs;
	}

	/** Handles one request, and records its outcome in metrics and the log. */
	async handle(req: ProxyRequest): Promise<ProxyOutcome> {
		const {metrics, clock, turns} = this.#options;
		this.#inFlight++;
		try {
			// The end of the client's connection may already have arrived, too, if the request was read late.
			await turns.next();
			metrics.observe('request_turn_seconds', {}, clock.nowMs() - req.arrivedMs);
			const admission = this.#admission.admit(req);
			const outcome = admission.kind === 'refused' ? admission.outcome : await this.#handle(req, admission);
			const tookMs = clock.nowMs() - req.arrivedMs;
			const reason = 'reason' in outcome ? outcome.reason : '';
			metrics.count('proxied_requests', {outcome: outcome.kind, reason});
			metrics.observe('proxied_seconds', {outcome: outcome.kind}, tookMs);
			this.#requestLog.logEnd({
				requestId: req.requestId, route: admission.route, admission, outcome, tookMs,
			});
			return outcome;
		} finally {
			this.#inFlight--;
		}
	}

	async #handle(req: ProxyRequest, admission: Admitted): Promise<ProxyOutcome> {
		const {steering, quarantine} = this.#options;
		const {route} = admission;
		const service = steering.nextServiceOf(route);
		if (service === undefined) {
			return {kind: 'invalid', reason: 'no_route'};
		}

		if (req.requestId === undefined) {
			return {kind: 'invalid', reason: 'no_request_id'};
		}

		// A request behind a response that closes the connection is sent again by the client, so that one that must not be repeated waits until there is none ahead.
		if (!await req.waitForTurn(route.isRepeatable ? maxPipelined - 1 : 0)) {
			return {kind: 'unknown', reason: 'cancelled'};
		}

		const deadlineMs = req.arrivedMs + Math.min(req.remainingMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
		const read = await readIdentifiedBody({
			req,
			head: {
				service, method: req.method, path: req.target, account: admission.account?.name,
			},
			quarantine,
			remainingMs: deadlineMs - this.#options.clock.nowMs(),
		});
		if (read.kind === 'failed') {
			return read.outcome;
		}

		// Another configuration may have come into force while the request waited or its body arrived.
		const decided = this.#admission.decideAgain(req, {admission, service});
		if (decided.kind === 'refused') {
			return decided.outcome;
		}

		if (quarantine.isBlocked(read.body.fingerprint)) {
			return {kind: 'not_run', reason: 'quarantined', retryAfterMs: quarantinedRetryAfterMs};
		}

		this.#options.retries.recordRequest(decided.service, this.#options.clock.nowMs());
		const latest = decided.admission;
		const objectKey = objectKeyOf(req, latest);
		if (latest.route.hasAffinity) {
			this.#options.planner.recordRequest({
				service: decided.service, route: latest.route.prefix, priority: latest.priority, objectKey, allowedRegions: latest.allowedRegions,
			});
		}

		const context: RequestContext = {
			req,
			admission: latest,
			service: decided.service,
			objectKey,
			body: read.body,
			deadlineMs,
			attempts: new RequestAttempts({isRepeatable: route.isRepeatable && !read.body.isStreamed, maxAttempts: route.maxAttempts}),
			triedInstanceIds: new Set(),
			quota: new RequestQuota(this.#options.quotas, latest.account),
		};
		const outcome = await this.#sendUntilAnswered(context);
		if (outcome.kind !== 'answer' && !context.attempts.mayHaveRun) {
			context.quota.giveBack();
		}

		return outcome;
	}

	/** Sends the request until an instance responds or no further attempt is allowed. */
	async #sendUntilAnswered(initialContext: RequestContext): Promise<ProxyOutcome> {
		const {clock, retries, countHosts, metrics, logger} = this.#options;
		const {req, attempts, deadlineMs, triedInstanceIds} = initialContext;
		let context = initialContext;
		let lastResult: InstanceResult | undefined;
		for (;;) {
			const decided = this.#admission.decideAgain(req, context);
			if (decided.kind === 'refused') {
				return attempts.mayHaveRun ? this.#outcomeWithoutResponse(attempts, lastResult, 'shed') : decided.outcome;
			}

			if (decided.admission !== context.admission) {
				context = {
					...context, admission: decided.admission, service: decided.service, objectKey: objectKeyOf(req, decided.admission),
				};
			}

			const {service} = context;
			const nowMs = clock.nowMs();
			if (req.disconnect.aborted) {
				return {kind: 'unknown', reason: 'cancelled'};
			}

			if (nowMs >= deadlineMs) {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'timeout');
			}

			const choice = this.#choose(context, nowMs);
			if (choice.kind !== 'instance') {
				return this.#outcomeWithoutInstance(context, choice, lastResult, nowMs);
			}

			if (!isOverBefore({
				startMs: nowMs, waitMs: choice.waitMs, usualRunMs: choice.runMs, endMs: this.#finishByMs,
			})) {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'stopping');
			}

			if (attempts.isRetry && !retries.take(service, countHosts(), nowMs)) {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'retry_budget');
			}

			const quota = await context.quota.take(deadlineMs);
			if (quota.kind === 'over_quota') {
				return {
					kind: 'not_run', reason: quota.kind, retryAfterMs: this.#jittered(quota.retryAfterMs), figures: quota.figures,
				};
			}

			if (quota.kind === 'waited') {
				// The choice of an instance is out of date.
				continue;
			}

			triedInstanceIds.add(choice.entry.instance.id);
			if (choice.isCold) {
				metrics.count('cold_sends', {service});
				logger.limited('a request is sent to a cold instance', {request: req.requestId, instance: choice.entry.instance.id});
			}

			const decision = this.#decisionOf(context, choice.entry);
			lastResult = await this.#send(context, choice.entry, choice.waitMs, decision);
			if (lastResult.kind === 'outdated') {
				metrics.count('outdated_choices', {service});
				triedInstanceIds.delete(choice.entry.instance.id);
			}

			if (lastResult.kind === 'whole' || lastResult.kind === 'partial') {
				attempts.recordResult('answered');
				return {
					kind: 'answer',
					result: lastResult,
					instanceId: choice.entry.instance.id,
					decision,
					expectedWaitMs: choice.waitMs,
					expectedRunMs: choice.runMs,
					failedSends: triedInstanceIds.size - 1,
				};
			}

			if (!attempts.recordResult(toAttemptResult(lastResult)) || context.body.isStreamed) {
				return this.#outcomeWithoutResponse(attempts, lastResult, lastResult.kind === 'overdue' ? 'timeout' : 'shed');
			}
		}
	}

	/** Returns the outcome of a request that cannot be sent to any instance now. */
	#outcomeWithoutInstance({attempts, service, admission, deadlineMs}: RequestContext, choice: NoInstance, lastResult: InstanceResult | undefined, nowMs: number): ProxyOutcome {
		switch (choice.kind) {
			case 'paused': {
				return attempts.mayHaveRun ? this.#outcomeWithoutResponse(attempts, lastResult, 'shed') : {kind: 'not_run', reason: 'paused', retryAfterMs: choice.pauseMs};
			}

			case 'none': {
				return this.#outcomeWithoutResponse(attempts, lastResult, lastResult === undefined ? 'no_upstream' : 'shed');
			}

			case 'busy': {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'busy', {
					excessWaitMs: Math.round(choice.excessMs),
					remainingMs: Math.round(deadlineMs - nowMs),
					usualRunMs: Math.round(this.#options.observer.runMs(service, admission.route)),
				});
			}
		}
	}

	#choose(context: RequestContext, nowMs: number): ReturnType<Placement['choose']> {
		const {placement, steering, observer, coldLimitPerSecond} = this.#options;
		const {req, admission, service, objectKey, triedInstanceIds, deadlineMs} = context;
		const {route, priority, allowedRegions} = admission;
		return placement.choose({
			service,
			objectKey: route.hasAffinity ? objectKey : undefined,
			priority,
			isRepeatable: route.isRepeatable,
			allowedRegions,
			avoid: triedInstanceIds,
			coldPerSecond: coldLimitPerSecond(steering.routes?.services.get(service)?.coldPerSecond ?? 0),
			remainingMs: deadlineMs - nowMs,
			targetMs: route.targetMs - (nowMs - req.arrivedMs),
			runMs: observer.runMs(service, route),
		}, nowMs);
	}

	#decisionOf({admission}: RequestContext, {region}: InstanceEntry): SendDecision {
		const {metrics, steering} = this.#options;
		const {table, allowedRegions} = admission;
		if (allowedRegions.length > 0) {
			metrics.observe('homed_send_unconfirmed_seconds', {}, steering.unconfirmedMs);
		}

		return {
			configuration: table.version, allowedRegions, region, unconfirmedMs: steering.unconfirmedMs,
		};
	}

	async #send(context: RequestContext, entry: InstanceEntry, expectedWaitMs: number, decision: SendDecision): Promise<InstanceResult> {
		const {clock, client, observer, notices, placement, steering} = this.#options;
		const {req, admission, body, service, objectKey, deadlineMs} = context;
		const {id, address} = entry.instance;
		const remainingMs = Math.max(1, deadlineMs - clock.nowMs());
		const recordEnd = observer.recordStart({
			service, route: admission.route, priority: admission.priority, objectKey, entry, expectedWaitMs,
		});
		const result = await client.send({
			address,
			instanceId: id,
			requestId: req.requestId!,
			method: req.method,
			target: req.target,
			headers: req.headers,
			hidesIdentity: admission.hidesIdentity,
			accountName: admission.account?.name,
			body: body.content,
			remainingMs,
			allowsLongIdle: context.attempts.mayBeLost,
			isCurrent: () => placement.isServing(entry) && steering.routes === admission.table,
			onHead(info) {
				notices.recordHead(entry.instance, info);
			},
			disconnect: req.disconnect,
			tryHold: req.tryHold,
		});
		const tookMs = recordEnd(result);
		await this.#updateCrashReports(context, id, result);
		if (result.kind !== 'whole' && result.kind !== 'partial') {
			this.#requestLog.logFailedSend({
				requestId: req.requestId, instance: entry.instance, decision, isRetry: context.attempts.isRetry, remainingMs, result, tookMs,
			});
		}

		return result;
	}

	/** Reports a crash if the connection was lost while the request ran, and clears the request after a complete response. */
	async #updateCrashReports({service, body, deadlineMs}: RequestContext, instanceId: string, result: InstanceResult): Promise<void> {
		const {quarantine, clock} = this.#options;
		if (result.kind === 'whole') {
			quarantine.clearAfterResponse(body.fingerprint, service);
		}

		if (result.kind !== 'lost') {
			return;
		}

		await body.readToEnd(Math.min(maxRestReadMs, deadlineMs - clock.nowMs()));
		for (const fingerprint of body.crashFingerprints) {
			void quarantine.reportCrash(fingerprint, service, instanceId);
		}
	}

	/** Returns the outcome of a request without a response: `not_run` only if it is certain that no attempt ran, otherwise `unknown`. */
	#outcomeWithoutResponse(attempts: RequestAttempts, lastResult: InstanceResult | undefined, reason: keyof typeof baseRetryAfterMs, busy?: BusyFigures): ProxyOutcome {
		if (attempts.mayHaveRun) {
			return {kind: 'unknown', reason: lastResult === undefined || lastResult.kind === 'overdue' ? 'timeout' : toUnknownReason(lastResult)};
		}

		const baseMs = Math.min(maxBaseRetryAfterMs, baseRetryAfterMs[reason] + (busy?.excessWaitMs ?? 0));
		return {
			kind: 'not_run', reason, figures: busy, retryAfterMs: this.#jittered(baseMs),
		};
	}

	#jittered(retryAfterMs: number): number {
		return retryAfterMs * (1 + (retryJitterShare * this.#options.random.next()));
	}
}

function objectKeyOf(req: ProxyRequest, {route, allowedRegions}: Admitted): string | undefined {
	return req.objectKey === undefined ? undefined : scopedObjectKey.of(req.objectKey, allowedRegions, route.allowedRegions);
}

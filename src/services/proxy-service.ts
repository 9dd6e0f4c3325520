import {type InstanceClient} from '../adapters/instance-client.js';
import {type Clock} from '../contracts/clock.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type Route} from '../contracts/route.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {type Placement} from '../decisions/placement.js';
import {type RetryShare} from '../decisions/retry-share.js';
import {type SeededRandom} from '../decisions/seeded-random.js';
import {isOverBefore} from '../decisions/is-over-before.js';
import {RequestAttempts} from '../decisions/request-attempts.js';
import {fingerprintOf} from './fingerprint-of.js';
import {type Logger} from './logger.js';
import {type LoopTurns} from './loop-turns.js';
import {type Metrics} from './metrics.js';
import {type NoticeRecorder} from './notice-recorder.js';
import {type PlannerService} from './planner-service.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyRequest} from './proxy-request.js';
import {type QuarantineService} from './quarantine-service.js';
import {RequestLog} from './request-log.js';
import {type AttemptObserver} from './attempt-observer.js';
import {type SteeringService} from './steering-service.js';

type ProxyOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'limited'>;
	readonly metrics: Pick<Metrics, 'count' | 'observe'>;
	readonly steering: Pick<SteeringService, 'routes' | 'match' | 'nextServiceOf'>;
	readonly placement: Placement;
	readonly client: Pick<InstanceClient, 'send'>;
	readonly retries: RetryShare;
	readonly quarantine: Pick<QuarantineService, 'isBlocked' | 'reportCrash' | 'clearAfterResponse'>;
	readonly planner: Pick<PlannerService, 'recordRequest'>;
	readonly turns: Pick<LoopTurns, 'next'>;
	readonly observer: AttemptObserver;
	readonly notices: Pick<NoticeRecorder, 'recordHead'>;
	readonly random: SeededRandom;
	/** Returns the number of hosts that may be sending to the same services. */
	readonly countHosts: () => number;
	/** Returns the rate, in requests per second, that all hosts together may send to a cold instance, given the rate that its service states. */
	readonly coldLimitPerSecond: (coldPerSecond: number) => number;
};

/** State of one request across its attempts. */
type RequestContext = {
	readonly req: ProxyRequest;
	readonly route: Route;
	readonly service: string;
	readonly body: SendableBody;
	readonly fingerprint: string;
	readonly deadlineMs: number;
	readonly attempts: RequestAttempts;
	readonly triedInstanceIds: Set<string>;
};

type ReadBody = Awaited<ReturnType<ProxyRequest['readBody']>>;
type SendableBody = Extract<ReadBody, {kind: 'none' | 'whole' | 'stream'}>;
type InstanceEntry = NonNullable<ReturnType<InstanceTable['get']>>;

/** Request bodies up to this size are buffered, so that they can be sent again. */
const maxBufferedBodyBytes = 65_536;
/** Number of requests of one connection that are sent on at the same time. */
const maxPipelined = 16;
const notReadyRetryAfterMs = 500;
/** Base of the time after which a client should retry, by the reason why its request did not run. */
const baseRetryAfterMs = {
	timeout: 250, shed: 250, no_upstream: 500, retry_budget: 250, busy: 50, stopping: 0,
} as const;
const maxBaseRetryAfterMs = 2000;
/** Up to this share of the time is added at random, so that clients do not retry all at once. */
const retryJitterShare = 0.5;
const quarantinedRetryAfterMs = 60_000;
const noMemoryRetryAfterMs = 1000;

/** Forwards clients' requests for published routes to instances, retries them within bounds, and returns their outcomes. */
export class ProxyService {
	readonly #options: ProxyOptions;
	readonly #requestLog: RequestLog;
	#inFlight = 0;
	/** End of a planned stop, in monotonic milliseconds. */
	#finishByMs = Number.POSITIVE_INFINITY;

	constructor(options: ProxyOptions) {
		this.#options = options;
		this.#requestLog = new RequestLog(options.logger);
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
			const route = this.#matchRoute(req);
			const outcome = await this.#handle(req, route);
			const tookMs = clock.nowMs() - req.arrivedMs;
			const reason = 'reason' in outcome ? outcome.reason : '';
			metrics.count('proxied_requests', {outcome: outcome.kind, reason});
			metrics.observe('proxied_seconds', {outcome: outcome.kind}, tookMs);
			this.#requestLog.logEnd({
				requestId: req.requestId, route, outcome, tookMs,
			});
			return outcome;
		} finally {
			this.#inFlight--;
		}
	}

	#matchRoute(req: ProxyRequest): Route | undefined {
		const [path] = req.target.split('?', 1);
		return this.#options.steering.match(req.host, path!);
	}

	async #handle(req: ProxyRequest, route: Route | undefined): Promise<ProxyOutcome> {
		const {steering, quarantine} = this.#options;
		if (req.disconnect.aborted) {
			return {kind: 'unknown', reason: 'cancelled'};
		}

		const table = steering.routes;
		if (table === undefined) {
			return {kind: 'not_run', reason: 'not_ready', retryAfterMs: notReadyRetryAfterMs};
		}

		const service = route === undefined ? undefined : steering.nextServiceOf(route);
		if (route === undefined || service === undefined) {
			return {kind: 'invalid', reason: 'no_route'};
		}

		if (req.requestId === undefined) {
			return {kind: 'invalid', reason: 'no_request_id'};
		}

		// A request behind a response that closes the connection is sent again by the client, so that one that must not be repeated waits until there is none ahead.
		if (!await req.waitForTurn(route.isRepeatable ? maxPipelined - 1 : 0)) {
			return {kind: 'unknown', reason: 'cancelled'};
		}

		const body = await req.readBody(maxBufferedBodyBytes);
		if (body.kind === 'too_large') {
			return {kind: 'invalid', reason: 'body_too_large'};
		}

		if (body.kind === 'no_memory') {
			return {kind: 'not_run', reason: 'no_memory', retryAfterMs: noMemoryRetryAfterMs};
		}

		if (body.kind === 'broken') {
			return {kind: 'invalid', reason: 'broken_off'};
		}

		const fingerprint = fingerprintOf({
			service, method: req.method, path: req.target, body: body.kind === 'whole' ? body.bytes : undefined,
		});
		if (quarantine.isBlocked(fingerprint)) {
			return {kind: 'not_run', reason: 'quarantined', retryAfterMs: quarantinedRetryAfterMs};
		}

		this.#options.retries.recordRequest(service, this.#options.clock.nowMs());
		if (route.hasAffinity && req.objectKey !== undefined) {
			this.#options.planner.recordRequest({
				service, route: route.prefix, priority: route.priority, objectKey: req.objectKey, allowedRegions: route.allowedRegions,
			});
		}

		return this.#sendUntilAnswered({
			req,
			route,
			service,
			body,
			fingerprint,
			deadlineMs: req.arrivedMs + Math.min(req.remainingMs ?? Number.POSITIVE_INFINITY, route.timeoutMs),
			attempts: new RequestAttempts({isRepeatable: route.isRepeatable && body.kind !== 'stream', maxAttempts: route.maxAttempts}),
			triedInstanceIds: new Set(),
		});
	}

	/** Sends the request until an instance responds or no further attempt is allowed. */
	async #sendUntilAnswered(context: RequestContext): Promise<ProxyOutcome> {
		const {clock, retries, countHosts, observer, metrics, logger} = this.#options;
		const {req, attempts, service, deadlineMs, triedInstanceIds} = context;
		let lastResult: InstanceResult | undefined;
		for (;;) {
			const nowMs = clock.nowMs();
			if (req.disconnect.aborted) {
				return {kind: 'unknown', reason: 'cancelled'};
			}

			if (nowMs >= deadlineMs) {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'timeout');
			}

			const choice = this.#choose(context, nowMs);
			if (choice.kind === 'paused' && !attempts.mayHaveRun) {
				return {kind: 'not_run', reason: 'paused', retryAfterMs: choice.pauseMs};
			}

			if (choice.kind === 'none' || choice.kind === 'paused') {
				return this.#outcomeWithoutResponse(attempts, lastResult, lastResult === undefined ? 'no_upstream' : 'shed');
			}

			if (choice.kind === 'busy') {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'busy', choice.excessMs);
			}

			if (!isOverBefore({
				startMs: nowMs, waitMs: choice.waitMs, usualRunMs: observer.runMs(service, context.route), endMs: this.#finishByMs,
			})) {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'stopping');
			}

			if (attempts.isRetry && !retries.take(service, countHosts(), nowMs)) {
				return this.#outcomeWithoutResponse(attempts, lastResult, 'retry_budget');
			}

			triedInstanceIds.add(choice.entry.instance.id);
			if (choice.isCold) {
				metrics.count('cold_sends', {service});
				logger.limited('a request is sent to a cold instance', {request: req.requestId, instance: choice.entry.instance.id});
			}

			lastResult = await this.#send(context, choice.entry, choice.waitMs);
			if (lastResult.kind === 'whole' || lastResult.kind === 'partial') {
				attempts.recordResult('answered');
				return {
					kind: 'answer', result: lastResult, instanceId: choice.entry.instance.id, expectedWaitMs: choice.waitMs, failedSends: triedInstanceIds.size - 1,
				};
			}

			if (!attempts.recordResult(toAttemptResult(lastResult)) || context.body.kind === 'stream') {
				return this.#outcomeWithoutResponse(attempts, lastResult, lastResult.kind === 'overdue' ? 'timeout' : 'shed');
			}
		}
	}

	#choose(context: RequestContext, nowMs: number): ReturnType<Placement['choose']> {
		const {placement, steering, observer, coldLimitPerSecond} = this.#options;
		const {req, route, service, triedInstanceIds, deadlineMs} = context;
		return placement.choose({
			service,
			objectKey: route.hasAffinity ? req.objectKey : undefined,
			priority: route.priority,
			isRepeatable: route.isRepeatable,
			allowedRegions: route.allowedRegions,
			avoid: triedInstanceIds,
			coldPerSecond: coldLimitPerSecond(steering.routes?.services.get(service)?.coldPerSecond ?? 0),
			remainingMs: deadlineMs - nowMs,
			runMs: observer.runMs(service, route),
		}, nowMs);
	}

	async #send(context: RequestContext, entry: InstanceEntry, expectedWaitMs: number): Promise<InstanceResult> {
		const {clock, client, observer, notices} = this.#options;
		const {req, route, body, service, deadlineMs} = context;
		const {id, address} = entry.instance;
		const remainingMs = Math.max(1, deadlineMs - clock.nowMs());
		const recordEnd = observer.recordStart({
			service, route, objectKey: req.objectKey, entry, expectedWaitMs,
		});
		const result = await client.send({
			address,
			instanceId: id,
			requestId: req.requestId!,
			method: req.method,
			target: req.target,
			headers: req.headers,
			body: toCallBody(body),
			remainingMs,
			onHead(info) {
				notices.recordHead(entry.instance, info);
			},
			disconnect: req.disconnect,
			tryHold: req.tryHold,
		});
		const tookMs = recordEnd(result);
		this.#updateCrashReports(context, id, result);
		if (result.kind !== 'whole' && result.kind !== 'partial') {
			this.#requestLog.logFailedSend({
				requestId: req.requestId, instance: entry.instance, isRetry: context.attempts.isRetry, remainingMs, result, tookMs,
			});
		}

		return result;
	}

	/** Reports a crash if the connection was lost while the request ran, and clears the request after a complete response. */
	#updateCrashReports({fingerprint, service}: RequestContext, instanceId: string, result: InstanceResult): void {
		const {quarantine} = this.#options;
		if (result.kind === 'lost') {
			void quarantine.reportCrash(fingerprint, service, instanceId);
		} else if (result.kind === 'whole') {
			quarantine.clearAfterResponse(fingerprint, service);
		}
	}

	/** Returns the outcome of a request without a response: `not_run` only if it is certain that no attempt ran, otherwise `unknown`. */
	#outcomeWithoutResponse(attempts: RequestAttempts, lastResult: InstanceResult | undefined, reason: keyof typeof baseRetryAfterMs, excessMs = 0): ProxyOutcome {
		if (attempts.mayHaveRun) {
			return {kind: 'unknown', reason: lastResult === undefined || lastResult.kind === 'overdue' ? 'timeout' : toUnknownReason(lastResult)};
		}

		return {kind: 'not_run', reason, retryAfterMs: Math.min(maxBaseRetryAfterMs, baseRetryAfterMs[reason] + excessMs) * (1 + (retryJitterShare * this.#options.random.next()))};
	}
}

function toCallBody(body: SendableBody): Uint8Array | AsyncIterable<Uint8Array> | undefined {
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

function toAttemptResult(result: InstanceResult): Parameters<RequestAttempts['recordResult']>[0] {
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

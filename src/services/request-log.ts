import {type InstanceResult} from '../contracts/instance-result.js';
import {type LiveInstance} from '../contracts/live-instance.js';
import {type Route} from '../contracts/route.js';
import {hashText} from '../decisions/hash-text.js';
import {type AccountCheck} from './accounts/account-check.js';
import {type Logger} from './logger.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type SendDecision} from './send-decision.js';

type EndedRequest = {
	readonly requestId: string | undefined;
	readonly route: Route | undefined;
	readonly admission: ReturnType<AccountCheck['admit']>;
	readonly outcome: ProxyOutcome;
	readonly tookMs: number;
};

type FailedSend = {
	readonly requestId: string | undefined;
	readonly instance: LiveInstance;
	readonly decision: SendDecision;
	/** Whether the request had reached an instance before. */
	readonly isRetry: boolean;
	/** Time that was left for the request when it was sent, in milliseconds. */
	readonly remainingMs: number;
	readonly result: InstanceResult;
	readonly tookMs: number;
};

/** One in this many requests that are answered in time by the first instance is logged. */
const requestsPerSample = 64;

/** Writes the log lines about single requests, from which the end and the cause of each failed or late one can be read. */
export class RequestLog {
	readonly #logger: Pick<Logger, 'limited'>;

	constructor(logger: Pick<Logger, 'limited'>) {
		this.#logger = logger;
	}

	/**
	 * Logs each request with no response, a late one or one after a failed send, and a sample of the others. The sample is chosen by request
	 * id, so it is the same on every host.
	 */
	logEnd({requestId, route, admission, outcome, tookMs}: EndedRequest): void {
		const fields = {
			request: requestId,
			route: route?.name,
			account: admission.account?.name,
			priority: admission.kind === 'admitted' ? admission.priority : route?.priority,
			targetMs: route?.targetMs,
			tookMs: Math.round(tookMs),
		};
		if (outcome.kind !== 'answer') {
			this.#logger.limited('request ended without an answer of an instance', {
				...fields,
				outcome: outcome.kind,
				reason: outcome.reason,
				...(outcome.kind === 'not_run' && {retryAfterMs: Math.round(outcome.retryAfterMs)}),
				...('figures' in outcome && outcome.figures !== undefined && {figures: outcome.figures}),
			});
			return;
		}

		const responseFields = {
			...fields,
			status: outcome.result.status,
			framing: outcome.result.framing,
			instance: outcome.instanceId,
			...describeDecision(outcome.decision),
			expectedWaitMs: Math.round(outcome.expectedWaitMs),
			expectedRunMs: Math.round(outcome.expectedRunMs),
		};
		if (route !== undefined && tookMs > route.targetMs) {
			this.#logger.limited('request answered late', responseFields);
		} else if (outcome.failedSends > 0) {
			this.#logger.limited('request answered after a failed send', responseFields);
		} else if (hashText(requestId ?? '') % requestsPerSample === 0) {
			this.#logger.limited('request answered', responseFields);
		}
	}

	logFailedSend({requestId, instance, decision, isRetry, remainingMs, result, tookMs}: FailedSend): void {
		this.#logger.limited('a send brought no answer', {
			request: requestId,
			instance: instance.id,
			address: instance.address,
			...describeDecision(decision),
			isRepeat: isRetry,
			remainingMs: Math.round(remainingMs),
			result: result.kind,
			detail: 'detail' in result ? result.detail : '',
			tookMs: Math.round(tookMs),
		});
	}
}

/** Returns what tells an outdated decision about the region from a wrong one. Requests that may run anywhere need no such fields. */
function describeDecision({configuration, allowedRegions, region, unconfirmedMs}: SendDecision): Readonly<Record<string, string | number>> {
	return {configuration, ...(allowedRegions.length > 0 && {allowedRegions: allowedRegions.join(' '), region, unconfirmedMs: Math.round(unconfirmedMs)})};
}

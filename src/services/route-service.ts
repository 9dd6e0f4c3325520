import {setTimeout as delay} from 'node:timers/promises';
import {type Clock} from '../contracts/clock.js';
import {type Member} from '../contracts/member.js';
import {type Outcome} from '../contracts/outcome.js';
import {overallOutcome} from '../decisions/overall-outcome.js';
import {memberKey} from '../decisions/member-key.js';
import {RefusalCache} from '../decisions/refusal-cache.js';
import {RetryBudget} from '../decisions/retry-budget.js';
import {type DispatchService} from './dispatch-service.js';
import {type Job} from './job.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';
import {ForwardTracker} from './forward-tracker.js';
import {type Tracer} from './tracer.js';

type RouteOptions = {
	readonly clock: Clock;
	readonly members: MembersService;
	readonly dispatch: DispatchService;
	readonly peerClient: PeerClient;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
};

/** Maximum number of attempts to reach the owner of a service while its ownership changes. */
const maxAttempts = 8;
const initialBackoffMs = 10;
const maxBackoffMs = 200;

/** Routes requests to the owner of their service's slots in this region, on this host or another. */
export class RouteService {
	readonly #options: RouteOptions;
	readonly #retryBudget = new RetryBudget({ratio: 0.1, burst: 50});
	readonly #refusalCache = new RefusalCache();
	/** Repeatable requests being forwarded to each owner; aborted when the owner is suspected. */
	readonly #forwardTracker = new ForwardTracker();

	constructor(options: RouteOptions) {
		this.#options = options;
		options.members.onChange(() => {
			this.#forwardTracker.abortLost(key => options.members.membership.statusOf(key) !== 'alive');
		});
	}

	/** Runs a request and returns its outcome. */
	async route(job: Job): Promise<Outcome> {
		const {clock} = this.#options;
		this.#retryBudget.recordFirstAttempt();
		const refusalKey = `${job.head.service}/${job.head.className}`;
		const waitMs = this.#refusalCache.excessiveWaitMs(refusalKey, job.deadlineMs - clock.nowMs(), clock.nowMs());
		if (waitMs !== undefined) {
			return {
				kind: 'not-run', reason: 'deadline_unreachable', detail: `the expected wait of ${Math.round(waitMs)} ms exceeds the remaining time`, retryAfterMs: waitMs,
			};
		}

		const outcome = await this.#routeToOwner(job);
		if (outcome.kind === 'not-run' && outcome.reason === 'deadline_unreachable') {
			this.#refusalCache.record(refusalKey, outcome.retryAfterMs, clock.nowMs());
		}

		return outcome;
	}

	async #routeToOwner(job: Job): Promise<Outcome> {
		const {clock, members, dispatch} = this.#options;
		let outcome: Outcome = {
			kind: 'not-run', reason: 'peer_unreachable', detail: 'the owner of the service is unreachable', retryAfterMs: maxBackoffMs,
		};
		let mayHaveRun = false;
		for (let attempts = 0; attempts < maxAttempts; attempts++) {
			if (attempts > 0) {
				await delay(Math.min(maxBackoffMs, initialBackoffMs * (2 ** attempts)));
			}

			if (job.signal.aborted || clock.nowMs() >= job.deadlineMs) {
				outcome = outcome.kind === 'not-run' ? {...outcome, reason: job.signal.aborted ? 'cancelled' : 'deadline_expired'} : outcome;
				break;
			}

			const owner = members.ownerOf(job.head.service);
			outcome = members.isSelf(owner) ? await dispatch.submit(job) : await this.#forward(job, owner);
			if (!this.#shouldRetry(job, outcome)) {
				break;
			}

			mayHaveRun ||= outcome.kind === 'unknown';
		}

		return overallOutcome(outcome, mayHaveRun);
	}

	async #forward(job: Job, owner: Member): Promise<Outcome> {
		const {peerClient, clock, members, tracer, metrics} = this.#options;
		const key = memberKey(owner);
		const tracked = job.isRepeatable ? this.#forwardTracker.track(key, job.signal) : undefined;
		const span = tracer.start('dispatcher', job.head.traceparent, {owner: owner.id});
		const remainingMs = job.deadlineMs - clock.nowMs();
		metrics.count('requests_forwarded');
		const result = await peerClient.forward({address: owner.peers, role: 'owner'}, {...job.head, remainingMs, traceparent: span.traceparent}, job.body, tracked?.signal ?? job.signal);
		tracked?.end();
		span.end(result.kind === 'outcome' ? result.outcome.kind : result.kind);
		switch (result.kind) {
			case 'outcome': {
				return result.outcome;
			}

			case 'not_sent': {
				members.recordRefusedConnection(key);
				return {
					kind: 'not-run', reason: 'peer_unreachable', detail: result.detail, retryAfterMs: maxBackoffMs,
				};
			}

			case 'lost': {
				return {kind: 'unknown', reason: job.signal.aborted ? 'cancelled' : 'host_lost', detail: result.detail};
			}
		}
	}

	#shouldRetry(job: Job, outcome: Outcome): boolean {
		switch (outcome.kind) {
			case 'whole': {
				return false;
			}

			case 'not-run': {
				return outcome.reason === 'not_owner' || outcome.reason === 'peer_unreachable' || outcome.reason === 'paused';
			}

			case 'unknown': {
				return outcome.reason === 'host_lost' && job.isRepeatable && this.#retryBudget.take();
			}
		}
	}
}

import {type Clock} from '../contracts/clock.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type Route} from '../contracts/route.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {RouteTimes} from '../decisions/route-times.js';
import {type Metrics} from './metrics.js';
import {type PlannerService} from './planner-service.js';

type AttemptObserverOptions = {
	readonly clock: Clock;
	readonly metrics: Pick<Metrics, 'observe'>;
	readonly planner: Pick<PlannerService, 'slownessEstimator' | 'recordResponseTime' | 'recordRun'>;
	/** Region of this host. */
	readonly region: string;
};

type InstanceEntry = NonNullable<ReturnType<InstanceTable['get']>>;

type ObservedAttempt = {
	readonly service: string;
	readonly route: Route;
	readonly priority: number;
	/** Object that the request concerns. */
	readonly objectKey: string | undefined;
	readonly entry: InstanceEntry;
	/** Expected wait for a slot. */
	readonly expectedWaitMs: number;
};

/** An attempt that has ended, with its result and duration. */
type EndedAttempt = ObservedAttempt & {readonly result: InstanceResult; readonly tookMs: number; readonly nowMs: number};

/** If the expected wait is at least this share of the time after which an attempt was given up, that time says nothing about the instance's speed. */
const longWaitShare = 0.5;

/** Updates estimates from each attempt: health, queue and speed of the instance, and run times of routes. */
export class AttemptObserver {
	readonly #options: AttemptObserverOptions;
	readonly #routeTimes = new RouteTimes();
	/** Time factors of the runs from which `#routeTimes` was learned, by the same estimator, so that both favour the same runs. */
	readonly #routeFactors = new RouteTimes();

	constructor(options: AttemptObserverOptions) {
		this.#options = options;
	}

	/** Returns the usual run time of a route at a service, in milliseconds, at an instance whose machine is as fast as usual. */
	runMs(service: string, route: Route): number {
		const key = routeKey(service, route);
		return this.#routeTimes.get(key) / (this.#routeTimes.has(key) ? this.#routeFactors.get(key) : 1);
	}

	/** Records the start of an attempt. The returned function records the result of the attempt and returns its duration in milliseconds. */
	recordStart(attempt: ObservedAttempt): (result: InstanceResult) => number {
		const {clock, metrics} = this.#options;
		const {entry, service} = attempt;
		const startMs = clock.nowMs();
		entry.health.recordStart(startMs);
		entry.queue.recordSend(startMs);
		const pending = this.#trackPending(attempt, startMs);
		return result => {
			pending?.end();
			const nowMs = clock.nowMs();
			const tookMs = nowMs - startMs;
			metrics.observe('instance_seconds', {service, result: result.kind}, tookMs);
			entry.health.recordResult(toHealth(result), nowMs);
			const ended = {
				...attempt, result, tookMs, nowMs,
			};
			this.#recordTimes(ended);
			this.#recordSpeed(ended);
			return tookMs;
		};
	}

	/** Records a pending attempt if its duration will be a sample of the instance's speed. */
	#trackPending({service, route, objectKey, entry, expectedWaitMs}: ObservedAttempt, startMs: number): {readonly end: () => void} | undefined {
		return this.#isSpeedSample(route, entry) && objectKey !== undefined
			? this.#options.planner.slownessEstimator.trackPending({
				instanceId: entry.instance.id, route: routeKey(service, route), objectKey, expectedStartMs: startMs + expectedWaitMs,
			})
			: undefined;
	}

	#recordTimes({service, route, priority, objectKey, entry, expectedWaitMs, result, tookMs, nowMs}: EndedAttempt): void {
		if (!('info' in result)) {
			return;
		}

		const {load} = result.info;
		if (result.kind === 'not_run') {
			if (load !== undefined) {
				entry.queue.updateLoad(load, nowMs);
			}

			return;
		}

		this.#routeTimes.record(routeKey(service, route), Math.max(0, tookMs - expectedWaitMs));
		this.#routeFactors.record(routeKey(service, route), load?.timeFactor ?? 1);
		if (load !== undefined) {
			entry.queue.recordResponse(load, tookMs, expectedWaitMs, nowMs);
		}

		if ((load?.waiting ?? 0) === 0) {
			this.#options.planner.recordResponseTime(service, route.prefix, tookMs);
			if (route.hasAffinity && objectKey !== undefined && expectedWaitMs === 0) {
				this.#options.planner.recordRun({
					service, route: route.prefix, priority, objectKey, instanceId: entry.instance.id,
				}, tookMs);
			}
		}
	}

	/**
	 * Records a speed sample of an instance in this region, without what its time factor at this moment explains: forecasts use that
	 * already. An attempt that was given up counts with its duration, unless a long wait was expected.
	 */
	#recordSpeed({service, route, objectKey, entry, expectedWaitMs, result, tookMs, nowMs}: EndedAttempt): void {
		const isEnded = 'info' in result && result.kind !== 'not_run' && (result.info.load?.waiting ?? 0) === 0;
		const isGivenUp = (result.kind === 'overdue' || result.kind === 'cancelled') && expectedWaitMs < tookMs * longWaitShare;
		if (this.#isSpeedSample(route, entry) && objectKey !== undefined && (isEnded || isGivenUp)) {
			this.#options.planner.slownessEstimator.recordRun({
				instanceId: entry.instance.id, route: routeKey(service, route), objectKey, runMs: isEnded ? tookMs / entry.queue.momentaryFactor(tookMs, nowMs) : tookMs, isEnded,
			}, nowMs);
		}
	}

	/** Whether runs of a route at an instance are samples of its speed. In another region they are not, because they include network latency. */
	#isSpeedSample(route: Route, entry: InstanceEntry): boolean {
		return route.hasAffinity && entry.region === this.#options.region;
	}
}

/** Returns the key of a route of a service among the estimates. */
function routeKey(service: string, route: Route): string {
	return `${service}|${route.prefix}`;
}

function toHealth(result: InstanceResult): Parameters<InstanceEntry['health']['recordResult']>[0] {
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

		case 'outdated':
		case 'broken':
		case 'overdue':
		case 'cancelled': {
			return 'overdue';
		}
	}
}

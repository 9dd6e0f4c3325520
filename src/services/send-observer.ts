import {type Clock} from '../contracts/clock.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type Route} from '../contracts/route.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {RouteTimes} from '../decisions/route-times.js';
import {type Metrics} from './metrics.js';
import {type PlannerService} from './planner-service.js';

type SendObserverOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly planner: PlannerService;
	/** Region of this host. */
	readonly region: string;
};

type Entry = NonNullable<ReturnType<InstanceTable['get']>>;

type ObservedSend = {
	readonly service: string;
	readonly route: Route;
	/** Object that the request concerns. */
	readonly objectKey: string | undefined;
	readonly entry: Entry;
	/** Wait for a slot that was expected, in milliseconds. */
	readonly expectedWaitMs: number;
};

/** A send that has ended, with its time in milliseconds. */
type EndedSend = ObservedSend & {readonly result: InstanceResult; readonly tookMs: number; readonly nowMs: number};

/** Part of the time until a send was given up above which an expected wait explains it. */
const longWaitPart = 0.5;

/** Learns from each send: the instance's health, queue and speed, and the times of routes. */
export class SendObserver {
	readonly #options: SendObserverOptions;
	readonly #routeTimes = new RouteTimes();

	constructor(options: SendObserverOptions) {
		this.#options = options;
	}

	/** Time that a run of a route usually takes at a service, in milliseconds. */
	runMs(service: string, route: Route): number {
		return this.#routeTimes.get(routeKey(service, route));
	}

	/** Notes that a send starts; the function that it answers takes in how the send ended, and answers its time in milliseconds. */
	started(send: ObservedSend): (result: InstanceResult) => number {
		const {clock, metrics} = this.#options;
		const {entry, service} = send;
		const startMs = clock.nowMs();
		entry.health.started(startMs);
		entry.queue.sent(startMs);
		const pending = this.#notePending(send, startMs);
		return result => {
			pending?.end();
			const nowMs = clock.nowMs();
			const tookMs = nowMs - startMs;
			metrics.observe('instance_seconds', {service, result: result.kind}, tookMs);
			entry.health.ended(toHealth(result), nowMs);
			this.#noteTimes({
				...send, result, tookMs, nowMs,
			});
			return tookMs;
		};
	}

	/** Notes a send to an instance of this region whose speed can be told from its route's other runs. */
	#notePending({service, route, objectKey, entry, expectedWaitMs}: ObservedSend, startMs: number): {readonly end: () => void} | undefined {
		return this.#tellsSpeed(route, entry) && objectKey !== undefined
			? this.#options.planner.speeds.started({
				instanceId: entry.instance.id, route: routeKey(service, route), objectKey, expectedEndOfWaitMs: startMs + expectedWaitMs,
			})
			: undefined;
	}

	#noteTimes(ended: EndedSend): void {
		const {service, route, objectKey, entry, expectedWaitMs, result, tookMs, nowMs} = ended;
		this.#noteSpeed(ended);
		if (!('info' in result)) {
			return;
		}

		const {load} = result.info;
		if (result.kind === 'not_run') {
			if (load !== undefined) {
				entry.queue.told(load, nowMs);
			}

			return;
		}

		this.#routeTimes.learn(routeKey(service, route), Math.max(0, tookMs - expectedWaitMs));
		if (load !== undefined) {
			entry.queue.answered(load, tookMs, expectedWaitMs, nowMs);
		}

		if ((load?.waiting ?? 0) === 0) {
			this.#options.planner.countAnswer(service, route.prefix, tookMs);
			if (route.hasAffinity && objectKey !== undefined && expectedWaitMs === 0) {
				this.#options.planner.countRun({
					service, route: route.prefix, priority: route.priority, objectKey, instanceId: entry.instance.id,
				}, tookMs);
			}
		}
	}

	/** Tells how fast an instance of this region was; a send that was given up counts with its time if it should not have waited long. */
	#noteSpeed({service, route, objectKey, entry, expectedWaitMs, result, tookMs, nowMs}: EndedSend): void {
		const isEnded = 'info' in result && result.kind !== 'not_run' && (result.info.load?.waiting ?? 0) === 0;
		const isGivenUp = (result.kind === 'overdue' || result.kind === 'cancelled') && expectedWaitMs < tookMs * longWaitPart;
		if (this.#tellsSpeed(route, entry) && objectKey !== undefined && (isEnded || isGivenUp)) {
			this.#options.planner.speeds.count({
				instanceId: entry.instance.id, route: routeKey(service, route), objectKey, runMs: tookMs, isEnded,
			}, nowMs);
		}
	}

	/** Whether runs of a route at an instance tell of its speed; those of another region include the travel. */
	#tellsSpeed(route: Route, entry: Entry): boolean {
		return route.hasAffinity && entry.region === this.#options.region;
	}
}

/** Names a route of a service among the times that are learned. */
function routeKey(service: string, route: Route): string {
	return `${service}|${route.prefix}`;
}

function toHealth(result: InstanceResult): Parameters<Entry['health']['ended']>[0] {
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

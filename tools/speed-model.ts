import {ColdRateLimiter} from '../src/decisions/cold-rate-limiter.js';
import {InstanceTable} from '../src/decisions/instance-table.js';
import {Placement} from '../src/decisions/placement.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {AttemptObserver} from '../src/services/attempt-observer.js';
import {Metrics} from '../src/services/metrics.js';
import {type InstanceResult} from '../src/contracts/instance-result.js';
import {type Route} from '../src/contracts/route.js';
import {SlownessEstimator} from '../src/decisions/slowness-estimator.js';

type SpeedModelOptions = {
	readonly seed: number;
	/** What the instances report as time factor: nothing, always 1, or the present one. */
	readonly reported: 'nothing' | 'one' | 'present';
	readonly hosts: number;
	readonly instances: number;
	/** Time that a request runs at an instance whose machine is as fast as usual. */
	readonly runMs: number;
	readonly targetMs: number;
	readonly timeoutMs: number;
	/** Mean time between two changes of a machine between 100% and 300%. */
	readonly meanStayMs: number;
	/** Requests as a share of what the instances can run on average. */
	readonly load: number;
	readonly seconds: number;
	/** Whether the requests concern objects, which have an instance each. */
	readonly hasObjects?: boolean;
};

type Job = {restMs: number; readonly end: () => void};
type ModelInstance = {readonly id: string; readonly alternates: boolean; factor: number; readonly running: Job[]; readonly waiting: Job[]};
type SpeedModelResult = {readonly inTarget: number; readonly late: number; readonly refused: number};

const stepMs = 5;
const slots = 3;
const slowFactor = 3;
const maxWaiting = 9;

/** Plays requests to instances half of which alternate at random between 100% and 300% of the usual time, in virtual time; returns shares of the requests. */
export function playSpeeds(options: SpeedModelOptions): SpeedModelResult {
	const {seed, reported, hosts, runMs, targetMs, timeoutMs, meanStayMs, load, seconds, hasObjects = false} = options;
	const random = new SeededRandom(seed);
	// The machines change by a generator of their own, so that they do so at the same moments with the figure and without it.
	const machineRandom = new SeededRandom(seed + 1000);
	const instances = Array.from({length: options.instances}, (_, index): ModelInstance => ({
		id: `i${index}`, alternates: index % 2 === 1, factor: 1, running: [], waiting: [],
	}));
	let nowMs = 0;
	const route: Route = {
		name: 'r', host: '', prefix: '/', isRepeatable: true, timeoutMs, targetMs, priority: 0, targets: [{service: 's', weight: 1}], maxAttempts: 1, hasAffinity: hasObjects, allowedRegions: [], isPublic: false,
	};
	const daemons = Array.from({length: hosts}, (_, index) => createHost({
		seed: seed + index, ids: instances.map(({id}) => id), hosts, clock: {nowMs: () => nowMs},
	}));
	const counts = {inTarget: 0, late: 0, refused: 0};
	const result = ({running, waiting, factor}: ModelInstance, isRun: boolean): InstanceResult => ({
		kind: isRun ? 'whole' : 'not_run', status: 200, headers: [], framing: 'length', body: new Uint8Array(), info: {
			requestId: 'q', isSigned: true, isNotRun: !isRun, isMisdirected: false, instanceId: undefined, isLeaving: false, pauseMs: undefined, load: {
				running: running.length, waiting: waiting.length, slots, ...(reported !== 'nothing' && {timeFactor: reported === 'one' ? 1 : factor}),
			},
		},
	});

	function send(): void {
		const {placement, observer} = daemons[random.below(hosts)]!;
		const objectKey = `k${random.below(40)}`;
		const choice = placement.choose({
			service: 's',
			objectKey: hasObjects ? objectKey : undefined,
			priority: 0,
			isRepeatable: true,
			allowedRegions: [],
			avoid: new Set(),
			coldPerSecond: 0,
			remainingMs: timeoutMs,
			targetMs,
			runMs: observer.runMs('s', route),
		}, nowMs);
		if (choice.kind !== 'instance') {
			counts.refused++;
			return;
		}

		const instance = instances.find(({id}) => id === choice.entry.instance.id)!;
		const recordEnd = observer.recordStart({
			service: 's', route, priority: route.priority, objectKey, entry: choice.entry, expectedWaitMs: choice.waitMs,
		});
		if (instance.waiting.length >= maxWaiting) {
			recordEnd(result(instance, false));
			counts.refused++;
			return;
		}

		instance.waiting.push({
			restMs: runMs * (0.85 + (0.3 * random.next())), end() {
				counts[recordEnd(result(instance, true)) <= targetMs ? 'inTarget' : 'late']++;
			},
		});
	}

	const meanRate = instances.reduce((sum, {alternates}) => sum + (slots / runMs / (alternates ? (1 + slowFactor) / 2 : 1)), 0) * load;
	for (let arrivalMs = 0; nowMs < seconds * 1000; nowMs += stepMs) {
		for (const instance of instances) {
			if (instance.alternates && machineRandom.next() < stepMs / meanStayMs) {
				instance.factor = instance.factor === 1 ? slowFactor : 1;
			}

			runStep(instance);
		}

		for (; arrivalMs <= nowMs; arrivalMs -= Math.log(1 - random.next()) / meanRate) {
			send();
		}
	}

	const total = counts.inTarget + counts.late + counts.refused;
	return {inTarget: counts.inTarget / total, late: counts.late / total, refused: counts.refused / total};
}

function runStep({running, waiting, factor}: ModelInstance): void {
	while (running.length < slots && waiting.length > 0) {
		running.push(waiting.shift()!);
	}

	for (const job of running) {
		job.restMs -= stepMs / factor;
	}

	const ended = running.filter(({restMs}) => restMs <= 0);
	running.splice(0, running.length, ...running.filter(({restMs}) => restMs > 0));
	for (const job of ended) {
		job.end();
	}
}

function createHost({seed, ids, hosts, clock}: {readonly seed: number; readonly ids: readonly string[]; readonly hosts: number; readonly clock: {readonly nowMs: () => number}}) {
	const table = new InstanceTable({regionOf: new Map([['a-1', 'a']])});
	for (const id of ids) {
		table.write({
			id, born: 1, service: 's', address: `10.0.0.1:${id}`, zone: 'a-1', slots, isDraining: false, coldMs: 0,
		}, 0);
	}

	return {
		placement: new Placement({
			table,
			coldLimiter: new ColdRateLimiter(),
			random: new SeededRandom(seed),
			region: 'a',
			hostsByRegion: () => new Map([['a', hosts]]),
			coldShare: () => 0,
			assignments: new Map(),
			prioritiesOf: () => [0],
			urgentTargetMs: () => 0,
			reservationOf: () => undefined,
		}),
		observer: new AttemptObserver({
			clock, metrics: new Metrics(), region: 'a', planner: {slownessEstimator: new SlownessEstimator(), recordResponseTime: () => undefined, recordRun: () => undefined},
		}),
	};
}

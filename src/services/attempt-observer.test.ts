import {describe, expect, it} from 'vitest';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type Route} from '../contracts/route.js';
import {SlownessEstimator} from '../decisions/slowness-estimator.js';
import {InstanceTable} from '../decisions/instance-table.js';
import {Metrics} from './metrics.js';
import {AttemptObserver} from './attempt-observer.js';

const route: Route = {
	name: 'r',
	host: 'shop.example',
	prefix: '/r/',
	isRepeatable: true,
	timeoutMs: 1000,
	targetMs: 200,
	priority: 0,
	targets: [{service: 's', weight: 1}],
	maxAttempts: 2,
	hasAffinity: true,
	allowedRegions: [],
	isPublic: false,
};

function response(waiting: number): InstanceResult {
	return {
		kind: 'whole',
		status: 200,
		headers: [],
		framing: 'length',
		body: new Uint8Array(),
		info: {
			requestId: 'q', isSigned: true, isNotRun: false, isMisdirected: false, instanceId: undefined, isLeaving: false, pauseMs: undefined, load: {running: 1, waiting, slots: 3},
		},
	};
}

/** Observes one attempt that takes 100 ms; returns the run times that the planner receives. */
function runsOf(result: InstanceResult, expectedWaitMs: number, sentRoute = route): number[] {
	let nowMs = 0;
	const runs: number[] = [];
	const table = new InstanceTable({regionOf: new Map([['a-1', 'a']])});
	table.write({
		id: 'i', born: 1, service: 's', address: '10.0.0.1:80', zone: 'a-1', slots: 3, isDraining: false, coldMs: 0,
	}, 0);
	const planner = {
		slownessEstimator: new SlownessEstimator(),
		recordResponseTime: () => undefined,
		recordRun(_: unknown, runMs: number) {
			runs.push(runMs);
		},
	};
	const observer = new AttemptObserver({
		clock: {nowMs: () => nowMs}, metrics: new Metrics(), planner, region: 'a',
	});
	const recordEnd = observer.recordStart({
		service: 's', route: sentRoute, priority: sentRoute.priority, objectKey: 'k', entry: table.get('i')!, expectedWaitMs,
	});
	nowMs = 100;
	recordEnd(result);
	return runs;
}

describe('attempt observer', () => {
	it('reports the run time of an attempt that did not wait to the planner', () => {
		expect(runsOf(response(0), 0)).toEqual([100]);
	});

	it('reports no run time for an attempt that may have waited', () => {
		expect(runsOf(response(0), 50)).toEqual([]);
		expect(runsOf(response(2), 0)).toEqual([]);
	});

	it('reports no run time for an attempt without a response or on a route without affinity', () => {
		expect(runsOf({kind: 'overdue'}, 0)).toEqual([]);
		expect(runsOf(response(0), 0, {...route, hasAffinity: false})).toEqual([]);
	});

	describe('of an instance that reports how long work takes', () => {
		/** Observes 20 usual runs and four slow ones, with these time factors; returns the instances found slow. */
		function slowAfter(usualFactor: number | undefined, slowFactor: number | undefined): string[] {
			let nowMs = 0;
			const table = new InstanceTable({regionOf: new Map([['a-1', 'a']])});
			table.write({
				id: 'i', born: 1, service: 's', address: '10.0.0.1:80', zone: 'a-1', slots: 3, isDraining: false, coldMs: 0,
			}, 0);
			const slownessEstimator = new SlownessEstimator();
			const observer = new AttemptObserver({
				clock: {nowMs: () => nowMs}, metrics: new Metrics(), planner: {slownessEstimator, recordResponseTime: () => undefined, recordRun: () => undefined}, region: 'a',
			});
			for (let run = 0; run < 24; run++) {
				const recordEnd = observer.recordStart({
					service: 's', route, priority: route.priority, objectKey: 'k', entry: table.get('i')!, expectedWaitMs: 0,
				});
				nowMs += run < 20 ? 100 : 300;
				const result = response(0);
				const timeFactor = run < 20 ? usualFactor : slowFactor;
				const info = {
					...(result as Extract<InstanceResult, {kind: 'whole'}>).info, load: {
						running: 1, waiting: 0, slots: 3, ...(timeFactor !== undefined && {timeFactor}),
					},
				};
				recordEnd({...result, info} as InstanceResult);
			}

			return slownessEstimator.slowInstances(nowMs).map(([id]) => id);
		}

		it('does not count what the present factor explains as learned slowness, too', () => {
			expect(slowAfter(undefined, undefined)).toEqual(['i']);
			expect(slowAfter(1, 3)).toEqual([]);
		});

		it('still finds slowness that the factor does not explain', () => {
			expect(slowAfter(1, 1)).toEqual(['i']);
		});
	});
});

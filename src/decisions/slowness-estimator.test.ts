import {describe, expect, it} from 'vitest';
import {SlownessEstimator} from './slowness-estimator.js';

const route = 's|/r/';
const objects = ['k1', 'k2', 'k3', 'k4'];

describe('slowness of instances', () => {
	function recordRuns(slownessEstimator: SlownessEstimator, instanceId: string, runMs: number, {nowMs = 0, isEnded = true} = {}): void {
		for (const objectKey of objects) {
			slownessEstimator.recordRun({
				instanceId, route, objectKey, runMs, isEnded,
			}, nowMs);
		}
	}

	it('is not derived from the first run of an object at an instance', () => {
		const slownessEstimator = new SlownessEstimator();
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i2', 400);
		expect(slownessEstimator.slowInstances(0)).toEqual([]);
		recordRuns(slownessEstimator, 'i2', 110);
		expect(slownessEstimator.slowInstances(0)).toEqual([]);
	});

	it('is reported for an instance that has become slow, until it is fast again', () => {
		const slownessEstimator = new SlownessEstimator();
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i1', 600, {nowMs: 1000});
		expect(slownessEstimator.slowInstances(1000).map(([id]) => id)).toEqual(['i1']);
		expect(slownessEstimator.slowInstances(1000)[0]![1]).toBeGreaterThan(3);
		recordRuns(slownessEstimator, 'i1', 100, {nowMs: 2000});
		expect(slownessEstimator.slowInstances(2000)).toEqual([]);
	});

	it('takes abandoned runs into account only if they had taken long', () => {
		const slownessEstimator = new SlownessEstimator();
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i1', 5, {isEnded: false});
		recordRuns(slownessEstimator, 'i1', 110);
		expect(slownessEstimator.slowInstances(0)).toEqual([]);
		recordRuns(slownessEstimator, 'i1', 1000, {isEnded: false});
		expect(slownessEstimator.slowInstances(0).map(([id]) => id)).toEqual(['i1']);
	});

	it('is reported for an instance with overdue runs', () => {
		const slownessEstimator = new SlownessEstimator();
		recordRuns(slownessEstimator, 'i1', 100);
		const runs = objects.map(objectKey => slownessEstimator.trackPending({
			instanceId: 'i1', route, objectKey, expectedStartMs: 1000,
		}));
		expect(slownessEstimator.slowInstances(1150)).toEqual([]);
		expect(slownessEstimator.slowInstances(1500).map(([id]) => id)).toEqual(['i1']);
		for (const run of runs) {
			run.end();
		}

		expect(slownessEstimator.slowInstances(1500)).toEqual([]);
	});

	it('is no longer reported when no recent run confirms it', () => {
		const slownessEstimator = new SlownessEstimator();
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i1', 100);
		recordRuns(slownessEstimator, 'i1', 900);
		expect(slownessEstimator.slowInstances(5001)).toEqual([]);
	});
});

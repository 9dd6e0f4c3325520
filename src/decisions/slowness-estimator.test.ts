import {describe, expect, it} from 'vitest';
import {SlownessEstimator} from './slowness-estimator.js';

const route = 's|/r/';
const objects = ['k1', 'k2', 'k3', 'k4'];

describe('slowness of instances', () => {
	function countAll(speeds: SlownessEstimator, instanceId: string, runMs: number, {nowMs = 0, isEnded = true} = {}): void {
		for (const objectKey of objects) {
			speeds.recordRun({
				instanceId, route, objectKey, runMs, isEnded,
			}, nowMs);
		}
	}

	it('is not derived from the first run of an object at an instance', () => {
		const speeds = new SlownessEstimator();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i2', 400);
		expect(speeds.slowInstances(0)).toEqual([]);
		countAll(speeds, 'i2', 110);
		expect(speeds.slowInstances(0)).toEqual([]);
	});

	it('is reported for an instance that has become slow, until it is fast again', () => {
		const speeds = new SlownessEstimator();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 600, {nowMs: 1000});
		expect(speeds.slowInstances(1000).map(([id]) => id)).toEqual(['i1']);
		expect(speeds.slowInstances(1000)[0]![1]).toBeGreaterThan(3);
		countAll(speeds, 'i1', 100, {nowMs: 2000});
		expect(speeds.slowInstances(2000)).toEqual([]);
	});

	it('takes abandoned runs into account only if they had taken long', () => {
		const speeds = new SlownessEstimator();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 5, {isEnded: false});
		countAll(speeds, 'i1', 110);
		expect(speeds.slowInstances(0)).toEqual([]);
		countAll(speeds, 'i1', 1000, {isEnded: false});
		expect(speeds.slowInstances(0).map(([id]) => id)).toEqual(['i1']);
	});

	it('is reported for an instance with overdue runs', () => {
		const speeds = new SlownessEstimator();
		countAll(speeds, 'i1', 100);
		const runs = objects.map(objectKey => speeds.trackPending({
			instanceId: 'i1', route, objectKey, expectedStartMs: 1000,
		}));
		expect(speeds.slowInstances(1150)).toEqual([]);
		expect(speeds.slowInstances(1500).map(([id]) => id)).toEqual(['i1']);
		for (const run of runs) {
			run.end();
		}

		expect(speeds.slowInstances(1500)).toEqual([]);
	});

	it('is no longer reported when no recent run confirms it', () => {
		const speeds = new SlownessEstimator();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 900);
		expect(speeds.slowInstances(5001)).toEqual([]);
	});
});

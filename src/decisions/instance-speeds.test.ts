import {describe, expect, it} from 'vitest';
import {InstanceSpeeds} from './instance-speeds.js';

const route = 's|/r/';
const objects = ['k1', 'k2', 'k3', 'k4'];

describe('slowness of instances', () => {
	function countAll(speeds: InstanceSpeeds, instanceId: string, runMs: number, {nowMs = 0, isEnded = true} = {}): void {
		for (const objectKey of objects) {
			speeds.count({
				instanceId, route, objectKey, runMs, isEnded,
			}, nowMs);
		}
	}

	it('is not derived from the first run of an object at an instance', () => {
		const speeds = new InstanceSpeeds();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i2', 400);
		expect(speeds.slow(0)).toEqual([]);
		countAll(speeds, 'i2', 110);
		expect(speeds.slow(0)).toEqual([]);
	});

	it('is reported for an instance that has become slow, until it is fast again', () => {
		const speeds = new InstanceSpeeds();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 600, {nowMs: 1000});
		expect(speeds.slow(1000).map(([id]) => id)).toEqual(['i1']);
		expect(speeds.slow(1000)[0]![1]).toBeGreaterThan(3);
		countAll(speeds, 'i1', 100, {nowMs: 2000});
		expect(speeds.slow(2000)).toEqual([]);
	});

	it('takes abandoned runs into account only if they had taken long', () => {
		const speeds = new InstanceSpeeds();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 5, {isEnded: false});
		countAll(speeds, 'i1', 110);
		expect(speeds.slow(0)).toEqual([]);
		countAll(speeds, 'i1', 1000, {isEnded: false});
		expect(speeds.slow(0).map(([id]) => id)).toEqual(['i1']);
	});

	it('is reported for an instance with overdue runs', () => {
		const speeds = new InstanceSpeeds();
		countAll(speeds, 'i1', 100);
		const runs = objects.map(objectKey => speeds.started({
			instanceId: 'i1', route, objectKey, expectedEndOfWaitMs: 1000,
		}));
		expect(speeds.slow(1150)).toEqual([]);
		expect(speeds.slow(1500).map(([id]) => id)).toEqual(['i1']);
		for (const run of runs) {
			run.end();
		}

		expect(speeds.slow(1500)).toEqual([]);
	});

	it('is no longer reported when no recent run confirms it', () => {
		const speeds = new InstanceSpeeds();
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 100);
		countAll(speeds, 'i1', 900);
		expect(speeds.slow(5001)).toEqual([]);
	});
});

import {describe, expect, it} from 'vitest';
import {HostLoadMonitor} from './host-load-monitor.js';
import {Metrics} from './metrics.js';

type Sample = {readonly loopLoad: number; readonly connections: number};

/** Returns the levels that a host announces for samples, one a second. */
function announced(samples: readonly Sample[], maxDescriptors: number | undefined): number[] {
	const levels: number[] = [];
	const loop = {active: 0, idle: 0, utilization: 0};
	let nowMs = 0;
	let connections = 0;
	let runSample: (() => void) | undefined;
	const monitor = new HostLoadMonitor({
		clock: {nowMs: () => nowMs},
		logger: {limited: () => undefined},
		metrics: new Metrics(),
		members: {
			run: () => undefined,
			membership: {
				setBusyLevel(level) {
					levels.push(level);
					return [];
				},
			},
		},
		countConnections: () => connections,
		maxDescriptors,
		loopUtilization: () => ({...loop}),
	});
	monitor.start({
		every(_name, _intervalMs, run) {
			runSample = run;
		},
	});
	for (const sample of samples) {
		nowMs += 1000;
		loop.active += 1000 * sample.loopLoad;
		loop.idle += 1000 * (1 - sample.loopLoad);
		connections = sample.connections;
		runSample?.();
	}

	return levels;
}

const seconds = (count: number, sample: Sample) => Array.from({length: count}, () => sample);

describe('HostLoadMonitor', () => {
	it.each([
		['its loop', {loopLoad: 0.99, connections: 0}],
		['its connections', {loopLoad: 0.1, connections: 1860}],
	])('announces a host that is busy by %s, and once that it has room again', (_, busy) => {
		const levels = announced([...seconds(60, busy), ...seconds(90, {loopLoad: 0.1, connections: 0})], 2069);
		expect(levels.at(-1)).toBe(0);
		expect(Math.max(...levels)).toBe(3);
		expect(levels.length).toBeLessThanOrEqual(5);
	});

	it('announces nothing for a host with room, nor for one whose size is unknown to the others', () => {
		expect(announced(seconds(60, {loopLoad: 0.5, connections: 900}), 2069)).toEqual([]);
		expect(announced(seconds(60, {loopLoad: 1, connections: 9000}), undefined)).toEqual([]);
	});
});

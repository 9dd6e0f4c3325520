import {describe, expect, it} from 'vitest';
import {BusyLevel} from './busy-level.js';
import {SeededRandom} from './seeded-random.js';

function changesOf(loadAt: (second: number) => number, seconds: number): {readonly changes: number; readonly last: number} {
	const busyLevel = new BusyLevel();
	let changes = 0;
	let last = 0;
	for (let second = 0; second < seconds; second++) {
		const level = busyLevel.update(loadAt(second), second * 1000);
		changes += level === last ? 0 : 1;
		last = level;
	}

	return {changes, last};
}

describe('BusyLevel', () => {
	it('rises with a load that lasts and falls when it ends', () => {
		expect(changesOf(() => 0.99, 60).last).toBe(3);
		expect(changesOf(second => (second < 60 ? 0.99 : 0.1), 120).last).toBe(0);
	});

	it('ignores a burst of a second and a process that was paused', () => {
		expect(changesOf(second => (second === 20 ? 1 : 0.3), 60)).toEqual({changes: 0, last: 0});
	});

	it('changes once for a load that varies around a limit, since each change is a message to the region', () => {
		const random = new SeededRandom(3);
		expect(changesOf(() => 0.64 + (0.14 * random.next()), 600).changes).toBeLessThanOrEqual(1);
	});

	it('changes at most twice in forty seconds, whatever the load does', () => {
		expect(changesOf(second => (Math.floor(second / 20) % 2 === 0 ? 1 : 0), 600).changes).toBeLessThanOrEqual(30);
		expect(changesOf(second => (Math.floor(second / 20) % 2 === 0 ? 1 : 0), 600).changes).toBeGreaterThan(10);
	});
});

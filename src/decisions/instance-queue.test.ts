import {describe, expect, it} from 'vitest';
import {InstanceQueue} from './instance-queue.js';

const load = {running: 3, waiting: 5, slots: 3};

/** Returns a queue after responses that took `tookMs` and reported the time factors, one each second until second 0. */
function queueAfter(factors: ReadonlyArray<number | undefined>, tookMs = 300): InstanceQueue {
	const queue = new InstanceQueue();
	for (const [index, timeFactor] of factors.entries()) {
		queue.recordResponse(timeFactor === undefined ? load : {...load, timeFactor}, tookMs, 0, (index + 1 - factors.length) * 1000);
	}

	return queue;
}

describe('InstanceQueue', () => {
	it('forecasts as before for an instance that reports no time factor', () => {
		const queue = queueAfter([undefined, undefined]);
		expect(queue.waitMs(1, 0)).toBe(500);
		expect(queue.timeFactor(100, 0, 0)).toBe(1);
	});

	it('gives a new factor its full weight and an old one none', () => {
		const queue = queueAfter([...Array.from({length: 40}, () => 1), 3]);
		const mean = 1.2;
		expect(queue.timeFactor(0, 0, 0)).toBeCloseTo(3);
		expect(queue.timeFactor(0, 0, 250)).toBeCloseTo(mean + ((3 - mean) / Math.E));
		expect(queue.timeFactor(0, 250, 0)).toBeCloseTo(mean + ((3 - mean) / Math.E));
		expect(queue.timeFactor(0, 0, 5000)).toBeCloseTo(mean);
		expect(queue.timeFactor(2000, 0, 0)).toBeLessThan(1.5);
		expect(queue.waitMs(1, 0)).toBeGreaterThan(queueAfter(Array.from({length: 41}, () => 1)).waitMs(1, 0));
	});

	it('does not count a factor twice that the learned run time contains already', () => {
		const queue = queueAfter(Array.from({length: 20}, () => 3));
		expect(queue.waitMs(1, 0)).toBe(500);
		expect(queue.momentaryFactor(300, 0)).toBe(1);
		expect(queue.timeFactor(300, 0, 0)).toBe(3);
	});

	it('takes the factor of a refusal, too, and keeps the earlier one if a later response has none', () => {
		const queue = queueAfter([1, 1]);
		queue.updateLoad({...load, timeFactor: 2}, 0);
		queue.updateLoad(load, 0);
		expect(queue.timeFactor(0, 0, 0)).toBe(2);
	});
});

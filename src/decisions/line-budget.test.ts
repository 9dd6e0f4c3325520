import {describe, expect, it} from 'vitest';
import {LineBudget} from './line-budget.js';

describe('log rate limiter', () => {
	it('limits the lines of a message, and returns the number of omitted lines with the next permitted one', () => {
		const limiter = new LineBudget({linesPerSecond: 10, linesAtOnce: 20});
		const first = Array.from({length: 100}, () => limiter.take('shed', 0)).filter(leftOut => leftOut !== undefined);
		expect(first).toHaveLength(20);
		expect(limiter.take('shed', 50)).toBeUndefined();
		expect(limiter.take('shed', 200)).toBe(81);
		expect(limiter.take('shed', 300)).toBe(0);
	});

	it('limits each message separately', () => {
		const limiter = new LineBudget({linesPerSecond: 1, linesAtOnce: 1});
		expect(limiter.take('shed', 0)).toBe(0);
		expect(limiter.take('lost', 0)).toBe(0);
		expect(limiter.take('shed', 0)).toBeUndefined();
	});
});

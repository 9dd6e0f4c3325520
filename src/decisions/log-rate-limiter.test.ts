import {describe, expect, it} from 'vitest';
import {LogRateLimiter} from './log-rate-limiter.js';

describe('log rate limiter', () => {
	it('limits the lines of a message, and returns the number of omitted lines with the next permitted one', () => {
		const limiter = new LogRateLimiter({linesPerSecond: 10, burstLines: 20});
		const first = Array.from({length: 100}, () => limiter.admit('shed', 0)).filter(leftOut => leftOut !== undefined);
		expect(first).toHaveLength(20);
		expect(limiter.admit('shed', 50)).toBeUndefined();
		expect(limiter.admit('shed', 200)).toBe(81);
		expect(limiter.admit('shed', 300)).toBe(0);
	});

	it('limits each message separately', () => {
		const limiter = new LogRateLimiter({linesPerSecond: 1, burstLines: 1});
		expect(limiter.admit('shed', 0)).toBe(0);
		expect(limiter.admit('lost', 0)).toBe(0);
		expect(limiter.admit('shed', 0)).toBeUndefined();
	});
});

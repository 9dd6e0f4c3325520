import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {quotaLimits} from './quota-limits.js';
import {quotaSlotCount} from './quota-slot-count.js';

const bounds = fc.record({
	quotaWindowMs: fc.integer({min: 1000, max: 60_000}), quotaOverage: fc.double({min: 0, max: 0.5, noNaN: true}), quotaTolerance: fc.integer({min: 0, max: 100}),
});
const quota = fc.record({ratePerSecond: fc.integer({min: 1, max: 100_000}), burst: fc.integer({min: 0, max: 10_000})});

describe('limits of a quota', () => {
	it('leave each slot a whole token, without which its host could neither serve nor lend', () => {
		fc.assert(fc.property(bounds, quota, (some, of) => {
			expect(quotaLimits(of, some).depth / quotaSlotCount(some)).toBeGreaterThanOrEqual(1);
		}));
		expect(quotaSlotCount({quotaWindowMs: 5000, quotaOverage: 0.1, quotaTolerance: 20})).toBe(16);
	});

	it('keep what exists at a time within the burst and the excess', () => {
		fc.assert(fc.property(bounds, quota, (some, of) => {
			const {depth, ratePerMs, outsideMs} = quotaLimits(of, some);
			const excess = (some.quotaOverage * ((of.ratePerSecond * some.quotaWindowMs / 1000) + of.burst)) + some.quotaTolerance;
			// Without any excess a single token is over it.
			fc.pre(of.burst + (0.9 * excess) - (ratePerMs * outsideMs) >= 1);
			expect(depth + (ratePerMs * outsideMs)).toBeLessThanOrEqual(of.burst + excess);
		}));
	});
});

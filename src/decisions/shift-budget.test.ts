import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ShiftBudget} from './shift-budget.js';

describe('shift budget', () => {
	it('shifts no more than the cap in any two seconds, except for the one object that overdraws it', () => {
		const steps = fc.array(fc.tuple(fc.integer({min: 50, max: 4000}), fc.integer({min: 1, max: 5})), {minLength: 5, maxLength: 80});
		fc.assert(fc.property(steps, fc.integer({min: 20, max: 500}), (moves, rate) => {
			const budget = new ShiftBudget();
			const spent: Array<{readonly atMs: number; readonly rate: number}> = [];
			let nowMs = 0;
			for (const [stepMs, objectRate] of moves) {
				nowMs += stepMs;
				budget.advance(rate, nowMs);
				while (budget.hasRemaining) {
					budget.spend(objectRate);
					spent.push({atMs: nowMs, rate: objectRate});
				}
			}

			for (const {atMs} of spent) {
				const inWindow = spent.filter(move => move.atMs >= atMs && move.atMs < atMs + 2000).reduce((sum, move) => sum + move.rate, 0);
				expect(inWindow).toBeLessThanOrEqual((0.15 * rate) + 5);
			}
		}));
	});

	it('does not accumulate during a pause', () => {
		const budget = new ShiftBudget();
		budget.advance(100, 0);
		budget.advance(100, 3_600_000);
		let spent = 0;
		while (budget.hasRemaining) {
			budget.spend(1);
			spent++;
		}

		expect(spent).toBeLessThanOrEqual(5);
	});
});

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ClientBudget} from './client-budget.js';

const options = {
	totalBytes: 1000, reservedBytes: 200, smallBytes: 50, connectionBytes: 400, processLimitBytes: 10_000, maxConnections: 5,
} as const;

function open(budget: ClientBudget<{heldBytes: number; lastActiveMs: number}>, bytes = 0, lastActiveMs = 0) {
	const holder = {heldBytes: 0, lastActiveMs};
	budget.open(holder);
	budget.change(holder, bytes);
	return holder;
}

describe('the budget for clients', () => {
	it('lets a connection with little in progress read after larger ones have to wait, so that ordinary requests are served', () => {
		const budget = new ClientBudget(options);
		const [large] = [open(budget, 390), open(budget, 390), open(budget, 30)];
		expect(budget.mayHold(large)).toBe(false);
		expect(budget.mayHold(open(budget, 30))).toBe(true);
		expect(budget.overflow()).toEqual([]);
	});

	it('stops reading a connection that holds all that one may, though memory is free', () => {
		const budget = new ClientBudget(options);
		const holder = open(budget, 400);
		expect(budget.isFull(holder)).toBe(true);
		expect(budget.mayHold(holder)).toBe(false);
	});

	it('closes the connections that hold most first, and no more than needed', () => {
		const budget = new ClientBudget(options);
		open(budget, 150);
		const larger = open(budget, 360);
		open(budget, 240);
		open(budget, 250);
		expect(budget.overflow()).toEqual([larger]);
	});

	it('closes the longest inactive connection without a request for one too many, and only if there is none the one that holds most', () => {
		const budget = new ClientBudget(options);
		open(budget, 20, 1);
		const idle = open(budget, 0, 5);
		open(budget, 0, 7);
		const larger = open(budget, 30, 9);
		open(budget, 20, 9);
		expect(budget.surplus()).toBeUndefined();
		const added = open(budget, 5, 10);
		expect(budget.surplus()).toBe(idle);
		budget.close(idle);
		open(budget, 5, 11);
		budget.close(added);
		for (let index = 0; index < 2; index++) {
			open(budget, 5, 0);
		}

		expect(budget.surplus()).not.toBe(larger);
	});

	it('shrinks while the process uses nearly all of its memory, though less is held, and grows again', () => {
		const budget = new ClientBudget(options);
		const holder = open(budget, 300);
		budget.adaptTo(9500);
		expect(budget.mayHold(holder)).toBe(false);
		expect(budget.overflow()).toEqual([holder]);
		budget.adaptTo(5000);
		expect(budget.mayHold(holder)).toBe(true);
	});

	it('holds nothing for closed connections, whatever is recorded for them afterwards', () => {
		const changes = fc.array(fc.record({holder: fc.nat(3), bytes: fc.integer({min: -100, max: 100}), isClosing: fc.boolean()}), {maxLength: 40});
		fc.assert(fc.property(changes, events => {
			const budget = new ClientBudget(options);
			const holders = Array.from({length: 4}, () => open(budget));
			for (const {holder, bytes, isClosing} of events) {
				if (isClosing) {
					budget.close(holders[holder]!);
				} else {
					budget.change(holders[holder]!, bytes);
				}
			}

			expect(budget.heldBytes).toBe(holders.reduce((sum, {heldBytes}) => sum + heldBytes, 0));
			for (const holder of holders) {
				budget.close(holder);
			}

			expect(budget.heldBytes).toBe(0);
		}), {seed: 5});
	});
});

import {describe, expect, it} from 'vitest';
import {ByteBudget} from './byte-budget.js';

describe('ByteBudget', () => {
	it('reserves no more than it has, over all reservations', () => {
		const budget = new ByteBudget({totalBytes: 10, reservationBytes: 8});
		const [first, second] = [budget.reserve(), budget.reserve()];
		expect([first.grow(6), second.grow(5), second.grow(4), first.grow(1)]).toEqual([true, false, true, false]);
		first.release();
		expect(second.grow(4)).toBe(true);
	});

	it('does not give all of it to one reservation', () => {
		const budget = new ByteBudget({totalBytes: 10, reservationBytes: 8});
		const reservation = budget.reserve();
		expect([reservation.grow(7), reservation.grow(2), reservation.grow(1)]).toEqual([true, false, true]);
	});

	it('gets bytes back once, and none is reserved after that', () => {
		const budget = new ByteBudget({totalBytes: 10, reservationBytes: 8});
		const reservation = budget.reserve();
		reservation.grow(6);
		reservation.release();
		reservation.release();
		expect(reservation.grow(1)).toBe(false);
		expect([budget.reserve().grow(8), budget.reserve().grow(2), budget.reserve().grow(1)]).toEqual([true, true, false]);
	});
});

import {describe, expect, it} from 'vitest';
import {UrgentReserve} from './urgent-reserve.js';

const own = Array.from({length: 16}, (_, index) => ({id: `i${index}`, slots: 9}));
const needs = {
	service: 's', own, urgentDemand: 8, totalDemand: 40, urgentObjects: 54, kept: Number.POSITIVE_INFINITY, isSlow: () => false,
};
const countOf = (reserve: UrgentReserve, changes: Partial<typeof needs>, nowMs: number) => reserve.choose({...needs, ...changes}, nowMs).length;

/** A reserve whose service has been asked for long enough to show its load. */
function known(): UrgentReserve {
	const reserve = new UrgentReserve();
	reserve.noteAsked('s', -10_000);
	return reserve;
}

describe('urgent reserve', () => {
	it('is large enough for the objects of the most urgent requests, as far as the others\' load leaves room', () => {
		expect(countOf(known(), {}, 0)).toBe(3);
		expect(countOf(known(), {kept: 12}, 0)).toBe(6);
		expect(countOf(known(), {kept: 4}, 0)).toBe(10);
		expect(countOf(known(), {kept: 4, totalDemand: 100}, 0)).toBe(2);
	});

	it('grows at once and shrinks one instance at a time', () => {
		const reserve = known();
		expect(countOf(reserve, {urgentDemand: 32, totalDemand: 60}, 0)).toBe(8);
		const counts: number[] = [];
		for (let nowMs = 500; nowMs <= 30_000; nowMs += 500) {
			counts.push(countOf(reserve, {}, nowMs));
		}

		expect(counts.at(-1)).toBe(4);
		expect(counts.filter((count, index) => index > 0 && count !== counts[index - 1]).length).toBe(3);
		for (let index = 6; index < counts.length; index++) {
			expect(counts[index - 6]! - counts[index]!).toBeLessThanOrEqual(1);
		}
	});

	it('leaves one instance to the others, and is the only one if there are no more', () => {
		expect(countOf(known(), {own: own.slice(0, 2), urgentDemand: 30}, 0)).toBe(1);
		expect(countOf(known(), {own: own.slice(0, 1)}, 0)).toBe(1);
	});

	it('is a quarter of the instances until the loads are known', () => {
		expect(countOf(new UrgentReserve(), {}, 0)).toBe(4);
	});

	it('takes slow instances last', () => {
		const reserve = known();
		const [first] = reserve.choose(needs, 0);
		expect(reserve.choose({...needs, isSlow: (id: string) => id === first!.id}, 500).map(instance => instance.id)).not.toContain(first!.id);
	});
});

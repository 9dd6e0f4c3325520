import {describe, expect, it} from 'vitest';
import {UrgentReserve} from './urgent-reserve.js';

const localInstances = Array.from({length: 16}, (_, index) => ({id: `i${index}`, slots: 9}));
const inputs = {
	service: 's', localInstances, urgentDemandSlots: 8, totalDemandSlots: 40, urgentObjectCount: 54, objectCapacity: Number.POSITIVE_INFINITY, isSlow: () => false,
};
const countOf = (reserve: UrgentReserve, changes: Partial<typeof inputs>, nowMs: number) => reserve.choose({...inputs, ...changes}, nowMs).length;

/** Creates a reserve whose service has received requests for so long that its load is known. */
function createWithKnownLoad(): UrgentReserve {
	const reserve = new UrgentReserve();
	reserve.recordRequested('s', -10_000);
	return reserve;
}

describe('urgent reserve', () => {
	it('is large enough for the objects of the most urgent requests, as far as the load of the others permits', () => {
		expect(countOf(createWithKnownLoad(), {}, 0)).toBe(3);
		expect(countOf(createWithKnownLoad(), {objectCapacity: 12}, 0)).toBe(6);
		expect(countOf(createWithKnownLoad(), {objectCapacity: 4}, 0)).toBe(10);
		expect(countOf(createWithKnownLoad(), {objectCapacity: 4, totalDemandSlots: 100}, 0)).toBe(2);
	});

	it('grows at once and shrinks one instance at a time', () => {
		const reserve = createWithKnownLoad();
		expect(countOf(reserve, {urgentDemandSlots: 32, totalDemandSlots: 60}, 0)).toBe(8);
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

	it('leaves one instance to the other requests, unless the region has only one', () => {
		expect(countOf(createWithKnownLoad(), {localInstances: localInstances.slice(0, 2), urgentDemandSlots: 30}, 0)).toBe(1);
		expect(countOf(createWithKnownLoad(), {localInstances: localInstances.slice(0, 1)}, 0)).toBe(1);
	});

	it('is a quarter of the instances until the load is known', () => {
		expect(countOf(new UrgentReserve(), {}, 0)).toBe(4);
	});

	it('includes slow instances last', () => {
		const reserve = createWithKnownLoad();
		const [first] = reserve.choose(inputs, 0);
		expect(reserve.choose({...inputs, isSlow: (id: string) => id === first!.id}, 500).map(instance => instance.id)).not.toContain(first!.id);
	});
});

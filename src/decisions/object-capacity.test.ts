import {describe, expect, it} from 'vitest';
import {ObjectCapacity} from './object-capacity.js';
import {SeededRandom} from './seeded-random.js';

type SimulatedInstance = {readonly objects: number; readonly capacity: number; /** Share of the requests that belong to another instance's objects. */ readonly misroutedShare?: number};

/** Simulates instances with LRU caches of `capacity` objects; returns the estimate after 20 seconds of requests for their objects. */
function simulate(estimator: ObjectCapacity, instances: readonly SimulatedInstance[], fromMs = 0): number {
	const random = new SeededRandom(1);
	const caches = instances.map((): Array<number | string> => []);
	const known = new Set<string>();
	for (let nowMs = fromMs; nowMs < fromMs + 20_000; nowMs += 50) {
		for (const [index, {objects, capacity, misroutedShare = 0}] of instances.entries()) {
			const isMisrouted = random.next() < misroutedShare;
			const object = isMisrouted ? `misrouted ${nowMs}` : Math.floor(random.next() * objects);
			const recent = caches[index]!;
			const position = recent.indexOf(object);
			if (known.has(`${index} ${object}`)) {
				estimator.recordRun(`i${index}`, position === -1, nowMs);
			}

			known.add(`${index} ${object}`);
			recent.splice(position === -1 ? recent.length : position, 1);
			recent.unshift(object);
			recent.length = Math.min(recent.length, capacity);
		}

		if (nowMs % 500 === 0) {
			estimator.update(instances.map(({objects}, index) => ({id: `i${index}`, service: 's', objects})), nowMs);
		}
	}

	return estimator.capacityOf('s');
}

describe('object capacity', () => {
	it('is unknown while an instance stays warm for all of its objects', () => {
		expect(simulate(new ObjectCapacity(), [{objects: 10, capacity: 11}])).toBe(Number.POSITIVE_INFINITY);
	});

	it.each([15, 20, 40])('is estimated from instances with %i objects that stay warm for 11', objects => {
		const capacity = simulate(new ObjectCapacity(), [{objects, capacity: 11}, {objects, capacity: 11}]);
		expect(capacity).toBeGreaterThan(8);
		expect(capacity).toBeLessThan(14);
	});

	it('is not lowered by instances with few objects that evict some of them because of misrouted requests', () => {
		const misrouted = {objects: 4, capacity: 11, misroutedShare: 0.7};
		const capacity = simulate(new ObjectCapacity(), [{objects: 16, capacity: 11}, {objects: 17, capacity: 11}, {objects: 8, capacity: 11}, misrouted, misrouted, misrouted]);
		expect(capacity).toBeGreaterThan(7);
		expect(capacity).toBeLessThan(14);
	});

	it('rises again when an instance stays warm for more objects', () => {
		const estimator = new ObjectCapacity();
		simulate(estimator, [{objects: 20, capacity: 5}, {objects: 20, capacity: 5}]);
		expect(simulate(estimator, [{objects: 20, capacity: 30}], 20_000)).toBeGreaterThan(15);
	});

	it('is not derived from an instance whose runs are long for another reason', () => {
		const usual = {objects: 12, capacity: 30};
		expect(simulate(new ObjectCapacity(), [{objects: 12, capacity: 1}, usual, usual])).toBe(Number.POSITIVE_INFINITY);
		expect(simulate(new ObjectCapacity(), [{objects: 10, capacity: 1}, {objects: 10, capacity: 1}, usual, usual])).toBe(Number.POSITIVE_INFINITY);
	});

	it('is not derived from a few runs', () => {
		const estimator = new ObjectCapacity();
		estimator.recordRun('i', true, 0);
		estimator.update([{id: 'i', service: 's', objects: 3}], 0);
		expect(estimator.capacityOf('s')).toBe(Number.POSITIVE_INFINITY);
	});
});

import {describe, expect, it} from 'vitest';
import {ObjectCapacity} from './object-capacity.js';
import {SeededRandom} from './seeded-random.js';

type PlayedInstance = {readonly objects: number; readonly kept: number; /** Share of the requests that strayed here from elsewhere. */ readonly strayShare?: number};

/** Plays instances that forget the object used longest ago; answers the estimate after 20 seconds of requests for their objects. */
function play(capacity: ObjectCapacity, instances: readonly PlayedInstance[], fromMs = 0): number {
	const random = new SeededRandom(1);
	const caches = instances.map((): Array<number | string> => []);
	const known = new Set<string>();
	for (let nowMs = fromMs; nowMs < fromMs + 20_000; nowMs += 50) {
		for (const [index, {objects, kept, strayShare = 0}] of instances.entries()) {
			const isStray = random.next() < strayShare;
			const object = isStray ? `stray ${nowMs}` : Math.floor(random.next() * objects);
			const recent = caches[index]!;
			const place = recent.indexOf(object);
			if (known.has(`${index} ${object}`)) {
				capacity.count(`i${index}`, place === -1, nowMs);
			}

			known.add(`${index} ${object}`);
			recent.splice(place === -1 ? recent.length : place, 1);
			recent.unshift(object);
			recent.length = Math.min(recent.length, kept);
		}

		if (nowMs % 500 === 0) {
			capacity.judge(instances.map(({objects}, index) => ({id: `i${index}`, service: 's', objects})), nowMs);
		}
	}

	return capacity.keptBy('s');
}

describe('object capacity', () => {
	it('is unknown while an instance stays warm for all of its objects', () => {
		expect(play(new ObjectCapacity(), [{objects: 10, kept: 11}])).toBe(Number.POSITIVE_INFINITY);
	});

	it.each([15, 20, 40])('is found from instances with %i objects that keep 11', objects => {
		const kept = play(new ObjectCapacity(), [{objects, kept: 11}, {objects, kept: 11}]);
		expect(kept).toBeGreaterThan(8);
		expect(kept).toBeLessThan(14);
	});

	it('is not pulled down by instances with few objects that strayed requests make forget some', () => {
		const stray = {objects: 4, kept: 11, strayShare: 0.7};
		const kept = play(new ObjectCapacity(), [{objects: 16, kept: 11}, {objects: 17, kept: 11}, {objects: 8, kept: 11}, stray, stray, stray]);
		expect(kept).toBeGreaterThan(7);
		expect(kept).toBeLessThan(14);
	});

	it('rises again when an instance stays warm for more', () => {
		const capacity = new ObjectCapacity();
		play(capacity, [{objects: 20, kept: 5}, {objects: 20, kept: 5}]);
		expect(play(capacity, [{objects: 20, kept: 30}], 20_000)).toBeGreaterThan(15);
	});

	it('is not taken from an instance whose runs are long for another reason', () => {
		const usual = {objects: 12, kept: 30};
		expect(play(new ObjectCapacity(), [{objects: 12, kept: 1}, usual, usual])).toBe(Number.POSITIVE_INFINITY);
		expect(play(new ObjectCapacity(), [{objects: 10, kept: 1}, {objects: 10, kept: 1}, usual, usual])).toBe(Number.POSITIVE_INFINITY);
	});

	it('is not judged from a few runs', () => {
		const capacity = new ObjectCapacity();
		capacity.count('i', true, 0);
		capacity.judge([{id: 'i', service: 's', objects: 3}], 0);
		expect(capacity.keptBy('s')).toBe(Number.POSITIVE_INFINITY);
	});
});

import {describe, expect, it} from 'vitest';
import {ObjectCapacity} from './object-capacity.js';
import {SeededRandom} from './seeded-random.js';

/** Plays an instance that forgets the object used longest ago; answers the estimate after 20 seconds of requests for its objects. */
function play(capacity: ObjectCapacity, {objects, kept, fromMs = 0}: {readonly objects: number; readonly kept: number; readonly fromMs?: number}): number {
	const random = new SeededRandom(1);
	const recent: number[] = [];
	const known = new Set<number>();
	for (let nowMs = fromMs; nowMs < fromMs + 20_000; nowMs += 50) {
		const object = Math.floor(random.next() * objects);
		const place = recent.indexOf(object);
		if (known.has(object)) {
			capacity.count('i', place === -1, nowMs);
		}

		known.add(object);
		recent.splice(place === -1 ? recent.length : place, 1);
		recent.unshift(object);
		recent.length = Math.min(recent.length, kept);
		if (nowMs % 500 === 0) {
			capacity.judge([{id: 'i', service: 's', objects}], nowMs);
		}
	}

	return capacity.keptBy('s');
}

describe('object capacity', () => {
	it('is unknown while an instance stays warm for all of its objects', () => {
		expect(play(new ObjectCapacity(), {objects: 10, kept: 11})).toBe(Number.POSITIVE_INFINITY);
	});

	it.each([15, 20, 40])('is found from an instance with %i objects that keeps 11', objects => {
		const kept = play(new ObjectCapacity(), {objects, kept: 11});
		expect(kept).toBeGreaterThan(8);
		expect(kept).toBeLessThan(14);
	});

	it('rises again when an instance stays warm for more', () => {
		const capacity = new ObjectCapacity();
		play(capacity, {objects: 20, kept: 5});
		expect(play(capacity, {objects: 20, kept: 30, fromMs: 20_000})).toBeGreaterThan(15);
	});

	it('is not judged from a few runs', () => {
		const capacity = new ObjectCapacity();
		capacity.count('i', true, 0);
		capacity.judge([{id: 'i', service: 's', objects: 3}], 0);
		expect(capacity.keptBy('s')).toBe(Number.POSITIVE_INFINITY);
	});
});

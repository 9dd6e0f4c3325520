import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PartAssembler} from './part-assembler.js';
import {splitIntoParts} from './split-into-parts.js';

describe('PartAssembler', () => {
	const bytesOf = (length: number) => Uint8Array.from({length}, (_, index) => index % 251);

	// Guards against changes of the store that are joined wrongly, whose loss nobody would notice.
	it('joins the parts of an encoding in any order and with repetitions, once all have arrived', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 13_000}), fc.infiniteStream(fc.nat()), (length, order) => {
			const whole = bytesOf(length);
			const parts = splitIntoParts(whole)!;
			const assembler = new PartAssembler();
			const sequence = [...parts.keys(), ...parts.keys()].map(index => ({index, rank: order.next().value as number})).toSorted((a, b) => a.rank - b.rank);
			const joined = sequence.map(({index}) => assembler.add({
				origin: 'a', version: {era: 1, revision: 9}, index, count: parts.length, data: parts[index]!,
			})).filter(result => result !== undefined);
			expect(joined.length).toBeGreaterThanOrEqual(1);
			expect(joined.every(result => result.length === length && result.every((byte, index) => byte === whole[index]))).toBe(true);
		}), {seed: 46});
	});

	it('keeps the parts of different processes and versions apart', () => {
		const assembler = new PartAssembler();
		const add = (origin: string, revision: number, index: number) => assembler.add({
			origin, version: {era: 0, revision}, index, count: 2, data: new Uint8Array([revision, index]),
		});
		expect([add('a', 1, 0), add('b', 1, 1), add('a', 2, 1)]).toEqual([undefined, undefined, undefined]);
		expect(add('a', 2, 0)).toEqual(new Uint8Array([2, 0, 2, 1]));
	});

	it('forgets old encodings of which a part was lost, so that they take no memory', () => {
		const assembler = new PartAssembler();
		const add = (revision: number, index: number) => assembler.add({
			origin: 'a', version: {era: 0, revision}, index, count: 2, data: new Uint8Array([index]),
		});
		for (let revision = 1; revision <= 20; revision++) {
			add(revision, 0);
		}

		expect(add(1, 1)).toBeUndefined();
		expect(add(20, 1)).toEqual(new Uint8Array([0, 1]));
	});
});

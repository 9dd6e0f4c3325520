import {
	beforeEach, describe, expect, it, vi,
} from 'vitest';
import {largeConfiguration} from '../../test/large-configuration.js';
import {type ItemPull} from '../contracts/item-pull.js';
import {SeededRandom} from '../decisions/seeded-random.js';
import {deflatedItems} from './deflated-items.js';
import {ItemPullEncoder} from './item-pull-encoder.js';

const pullOf = (value: string, revision = 5, era = 1): ItemPull => ({
	era, revision, isWhole: false, sinceRevision: 2, items: [{key: 'config', value, revision}], removals: [], gaps: [],
});

describe('ItemPullEncoder', () => {
	const value = largeConfiguration(300, 1);
	const encode = vi.spyOn(deflatedItems, 'encode');
	let encoder: ItemPullEncoder;

	beforeEach(() => {
		encode.mockClear();
		encoder = new ItemPullEncoder();
	});

	// Guards against a weak host that compresses the same configuration for each of its region's hosts.
	it('compresses the same items once, whichever revision the peers have', () => {
		const first = encoder.encode(pullOf(value), true);
		const second = encoder.encode({...pullOf(value), sinceRevision: 4, removals: [['a', 5, 0]]}, true);
		expect(encode).toHaveBeenCalledTimes(1);
		expect(second.pull.deflatedItems).toBe(first.pull.deflatedItems);
		expect(second.pull).toMatchObject({sinceRevision: 4, removals: [['a', 5, 0]], items: []});
	});

	it('compresses a large item once, also while small ones beside it change', () => {
		const beside = (sequence: number): ItemPull => ({...pullOf(value), items: [{key: 'small', value: `${sequence}`, revision: 6 + sequence}, ...pullOf(value).items]});
		const responses = [1, 2, 3].map(sequence => encoder.encode(beside(sequence), true));
		expect(encode).toHaveBeenCalledTimes(1);
		expect(responses.map(({pull}) => pull.items.map(item => item.value))).toEqual([['1'], ['2'], ['3']]);
	});

	it('sends no earlier value for a later revision, or one of another era', () => {
		const later = value.replaceAll('3000', '4000');
		const decoded = [pullOf(value), pullOf(later, 6), pullOf(later, 5, 2)].map(pull => deflatedItems.decode(encoder.encode(pull, true).pull.deflatedItems!)[0]!.value);
		expect(decoded.map(text => text === value)).toEqual([true, false, false]);
	});

	it('keeps two encodings, those that were used last', () => {
		for (const revision of [5, 6, 5, 7, 5, 6]) {
			encoder.encode(pullOf(value, revision), true);
		}

		expect(encode).toHaveBeenCalledTimes(4);
	});

	// Guards against encodings that take the memory of a small host, and against responses that their receivers reject.
	it.each([
		{name: 'more than receivers accept', text: 'x'.repeat(4_200_000)},
		{name: 'an encoding of more than 1 MiB', text: randomText(1_600_000, 36)},
		{name: 'what compression does not make smaller', text: randomText(40_000, 90)},
	])('sends $name uncompressed, and tries once', ({text}) => {
		const {pull, bytes} = encoder.encode(pullOf(text), true);
		expect([pull.deflatedItems, pull.items[0]?.value === text, bytes]).toEqual([undefined, true, text.length + 'config'.length]);
		encoder.encode(pullOf(text), true);
		expect(encode).toHaveBeenCalledTimes(1);
	});
});

/** Returns text of random characters, so many different ones. */
function randomText(length: number, characters: number): string {
	const random = new SeededRandom(1);
	return Array.from({length}, () => String.fromCodePoint(36 + random.below(characters))).join('');
}

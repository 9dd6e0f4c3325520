import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ClientBlocks} from './client-blocks.js';
import {parseIpv4} from './parse-ipv4.js';

const Block = fc.record({raw: fc.integer({min: 0, max: 0xFF_FF_FF_FF}), length: fc.integer({min: 0, max: 32}), site: fc.nat(400)})
	.map(({raw, length, site}) => ({start: Math.floor(raw / (2 ** (32 - length))) * (2 ** (32 - length)), length, site}));

describe('client blocks', () => {
	it('returns the site of the longest matching prefix for any set of blocks', () => {
		fc.assert(fc.property(
			fc.uniqueArray(Block, {selector: block => `${block.start}/${block.length}`, maxLength: 60}),
			fc.array(fc.integer({min: 0, max: 0xFF_FF_FF_FF}), {maxLength: 20}),
			(blocks, addresses) => {
				const table = ClientBlocks.build(blocks);
				const edges = blocks.flatMap(block => [block.start, block.start + (2 ** (32 - block.length)) - 1]);
				for (const address of [...addresses, ...edges]) {
					const covering = blocks.filter(block => address >= block.start && address < block.start + (2 ** (32 - block.length)));
					const [best] = covering.toSorted((a, b) => b.length - a.length);
					expect(table.siteOf(address)).toBe(best?.site);
				}
			},
		), {seed: 7, numRuns: 300});
	});

	it('returns no site when the table is empty', () => {
		expect(ClientBlocks.build([]).siteOf(5)).toBeUndefined();
	});

	it.each([
		['10.0.0.1', 167_772_161],
		['::ffff:10.0.0.1', 167_772_161],
		['255.255.255.255', 0xFF_FF_FF_FF],
		['10.0.0', undefined],
		['10.0.0.256', undefined],
		['::1', undefined],
	])('parses %s as %s', (text, value) => {
		expect(parseIpv4(text)).toBe(value);
	});
});

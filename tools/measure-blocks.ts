import process from 'node:process';
import {ClientBlocks} from '../src/decisions/client-blocks.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';

const blockCounts = [430_000, 1_075_000, 2_150_000, 4_300_000];
const siteCount = 430;
const lookupCount = 2_000_000;
const bytesPerMb = 1_048_576;

/** Measures the memory and the lookup time of the table of client blocks, with blocks of 256 addresses at random positions. */
export async function measureBlocks(): Promise<Record<string, unknown>> {
	const sizes = [];
	for (const count of blockCounts) {
		sizes.push(measureCount(count));
	}

	return {sites: siteCount, sizes};
}

function measureCount(count: number): Record<string, number> {
	const random = new SeededRandom(count);
	const blockIndexes = new Set<number>();
	while (blockIndexes.size < count) {
		blockIndexes.add(random.below(2 ** 24));
	}

	const blocks = [...blockIndexes].map(blockIndex => ({start: blockIndex * 256, length: 24, site: random.below(siteCount)}));
	const startMs = performance.now();
	const table = ClientBlocks.build(blocks);
	const buildMs = performance.now() - startMs;
	const addresses = Array.from({length: lookupCount}, () => blocks[random.below(count)]!.start + random.below(256));
	const before = process.cpuUsage();
	let found = 0;
	for (const address of addresses) {
		found += table.siteOf(address) === undefined ? 0 : 1;
	}

	const used = process.cpuUsage(before);
	return {
		blocks: count,
		ranges: table.size,
		tableMb: Math.round((table.bytes / bytesPerMb) * 10) / 10,
		buildMs: Math.round(buildMs),
		lookupNs: Math.round(((used.user + used.system) * 1000) / lookupCount),
		found,
	};
}

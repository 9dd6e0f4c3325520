import {existsSync, readFileSync} from 'node:fs';
import {PlainReporter} from './test/plain-reporter.js';

/** Returns the names of the tests in KNOWN-RED.txt, which has one entry per line: `full name | command and seed | what was seen | issue`. */
function knownRedTests(): string[] {
	if (!existsSync('KNOWN-RED.txt')) {
		return [];
	}

	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	return lines
		.filter(line => line.trim() !== '' && !line.startsWith('#'))
		.map(line => (line.split('|')[0] ?? '').trim());
}

/** Returns a pattern that matches every test except those in KNOWN-RED.txt, or undefined if none is listed. */
function allButKnownRed(): RegExp | undefined {
	const names = knownRedTests().map(name => name.replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`));
	return names.length === 0 ? undefined : new RegExp(`^(?!(?:${names.join('|')})$)`);
}

const common = {
	testNamePattern: allButKnownRed(),
	testTimeout: 60_000,
	hookTimeout: 60_000,
	pool: 'forks',
	minWorkers: 1,
};
const excluded = ['node_modules/**', 'dist/**'];
/** Tests that put load on a daemon until its memory or its descriptors would be used up. */
const crowdTests = 'test/crowds/**/*.test.ts';

const config = {
	test: {
		...common,
		reporters: ['default', new PlainReporter()],
		maxWorkers: 4,
		projects: [
			{
				test: {
					...common, name: 'main', include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'test/**/*.test.ts'], exclude: [...excluded, crowdTests], maxWorkers: 4, sequence: {groupOrder: 0},
				},
			},
			{
				// One file at a time, and after all others, so that no other load runs beside it.
				test: {
					...common, name: 'crowds', include: [crowdTests], exclude: excluded, poolOptions: {forks: {singleFork: true}}, testTimeout: 120_000, sequence: {groupOrder: 1},
				},
			},
		],
	},
};

export default config;

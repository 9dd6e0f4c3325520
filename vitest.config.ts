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

const config = {
	test: {
		include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'test/**/*.test.ts'],
		exclude: ['node_modules/**', 'dist/**'],
		testNamePattern: allButKnownRed(),
		testTimeout: 60_000,
		hookTimeout: 60_000,
		pool: 'forks',
		reporters: ['default', new PlainReporter()],
		maxWorkers: 4,
		minWorkers: 1,
	},
};

export default config;

import process from 'node:process';
import meow from 'meow';
import {measureBlocks} from './measure-blocks.js';
import {measureConfig} from './measure-config.js';
import {measureFlood} from './measure-flood.js';
import {measureMembers} from './measure-members.js';
import {measurePath} from './measure-path.js';
import {measureShift} from './measure-shift.js';
import {measureStop} from './measure-stop.js';

const measurements: Readonly<Record<string, () => Promise<Record<string, unknown>>>> = {
	path: measurePath,
	config: measureConfig,
	members: measureMembers,
	stop: measureStop,
	blocks: measureBlocks,
	flood: async () => measureFlood('leastUrgent'),
	'urgent-flood': async () => measureFlood('mostUrgent'),
	shift: async () => measureShift('overload'),
	'region-loss': async () => measureShift('loss'),
};

const cli = meow(`
	Usage
	  $ npm run measure -- NAME

	Measurements
	  ${Object.keys(measurements).join(', ')}
`, {importMeta: import.meta});

const [name = ''] = cli.input;
const measurement = Object.hasOwn(measurements, name) ? measurements[name] : undefined;
if (measurement === undefined) {
	process.stderr.write(`unknown measurement "${name}"; expected one of: ${Object.keys(measurements).join(', ')}\n`);
	process.exitCode = 1;
} else {
	const result = await measurement();
	process.stdout.write(`${JSON.stringify({measure: name, ...result})}\n`);
}

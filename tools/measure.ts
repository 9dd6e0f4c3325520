import process from 'node:process';
import meow from 'meow';
import {measureAccounts} from './measure-accounts.js';
import {measureBlocks} from './measure-blocks.js';
import {measureConfig} from './measure-config.js';
import {measureFlood} from './measure-flood.js';
import {measureMembers} from './measure-members.js';
import {measurePlacement} from './measure-placement.js';
import {measurePath} from './measure-path.js';
import {measureQuotas} from './measure-quotas.js';
import {measureRequestCost} from './measure-request-cost.js';
import {measureShift} from './measure-shift.js';
import {measureStop} from './measure-stop.js';

const measurements: Readonly<Record<string, () => Promise<Record<string, unknown>>>> = {
	path: measurePath,
	config: measureConfig,
	members: measureMembers,
	stop: measureStop,
	blocks: measureBlocks,
	accounts: measureAccounts,
	flood: async () => measureFlood('leastUrgent'),
	'urgent-flood': async () => measureFlood('mostUrgent'),
	'request-cost': async () => measureRequestCost({daemonScript: cli.flags.daemon}),
	shift: async () => measureShift('overload'),
	'region-loss': async () => measureShift('loss'),
	quotas: async () => measureQuotas({seed: cli.flags.seed}),
	placement: async () => measurePlacement({file: cli.flags.scenario, seed: cli.flags.seed, svg: cli.flags.svg}),
};

const cli = meow(`
	Usage
	  $ npm run measure -- NAME

	Measurements
	  ${Object.keys(measurements).join(', ')}

	Options of placement
	  --scenario  file of the load; default: examples/placement/small-region.toml
	  --seed      seed of the play; default: 1
	  --svg       file for a chart of what callers got by second

	Options of request-cost
	  --daemon  built daemon of another version, which runs on half of the hosts; default: this version on all of them
`, {
	importMeta: import.meta,
	flags: {
		scenario: {type: 'string', default: 'examples/placement/small-region.toml'},
		seed: {type: 'number', default: 1},
		svg: {type: 'string'},
		daemon: {type: 'string'},
	},
});

const [name = ''] = cli.input;
const measurement = Object.hasOwn(measurements, name) ? measurements[name] : undefined;
if (measurement === undefined) {
	process.stderr.write(`unknown measurement "${name}"; expected one of: ${Object.keys(measurements).join(', ')}\n`);
	process.exitCode = 1;
} else {
	const result = await measurement();
	process.stdout.write(`${JSON.stringify({measure: name, ...result})}\n`);
}

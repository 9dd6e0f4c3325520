import process from 'node:process';
import meow from 'meow';
import {FaultInjector} from './fault-injector.js';
import {soakProduct} from './soak-product.js';
import {soakPlatform} from './soak-platform.js';

const cli = meow(`
	Usage
	  $ npm run soak -- [--seed N] [--minutes M] [--deployment mvule|barid] [--faults LIST] [--logs FOLDER]
	  $ npm run soak -- --platform [--seed N] [--minutes M] [--logs FOLDER]

	Runs stand-ins and 18 daemons under load and seeded random faults, compares every outcome with the requests
	that the upstreams ran, and prints the result as one JSON line; the exit code is 1 if a guarantee was violated.
	--platform runs the daemon of deploy/ on six hosts against stand-ins of the users' platform instead.

	Faults
	  ${FaultInjector.names.join(', ')}, poison, flood
`, {
	importMeta: import.meta,
	flags: {
		platform: {type: 'boolean', default: false},
		seed: {type: 'number', default: 1},
		minutes: {type: 'number', default: 2},
		deployment: {type: 'string', default: 'mvule', choices: ['mvule', 'barid']},
		faults: {type: 'string', default: [...FaultInjector.names, 'poison', 'flood'].join(',')},
		hostsPerZone: {type: 'number', default: 3},
		logs: {type: 'string'},
	},
});

function print(line: string): void {
	process.stderr.write(`${line}\n`);
}

const {
	platform, seed, minutes, deployment, hostsPerZone, faults, logs: logFolder,
} = cli.flags;
const isGood = platform
	? await soakPlatform({seed, minutes, logFolder}, print)
	: await soakProduct({
		deployment: deployment as 'mvule' | 'barid', hostsPerZone, seed, minutes, faults: faults.split(','), logFolder,
	}, print);
process.exitCode = isGood ? 0 : 1;

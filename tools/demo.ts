import process from 'node:process';
import meow from 'meow';
import {demoProduct} from './demo-product.js';
import {demoPlatform} from './demo-platform.js';

const cli = meow(`
	Usage
	  $ npm run demo -- [--full] [--deployment mvule|barid] [--logs FOLDER]
	  $ npm run demo -- --platform [--logs FOLDER]

	Starts the stand-ins and one daemon in each availability zone (three with --full), publishes the example,
	sends requests of every class during a planned stop of one host, and prints the result as one JSON line.
	--platform runs the daemon of deploy/ against stand-ins of the users' platform instead: while clients send,
	an instance crashes, a configuration is published and one host makes a planned stop.
`, {
	importMeta: import.meta,
	flags: {
		full: {type: 'boolean', default: false},
		platform: {type: 'boolean', default: false},
		deployment: {type: 'string', default: 'mvule', choices: ['mvule', 'barid']},
		logs: {type: 'string'},
	},
});

function print(line: string): void {
	process.stderr.write(`${line}\n`);
}

const {deployment, full: isFull, logs: logFolder, platform} = cli.flags;
const isGood = platform
	? await demoPlatform(logFolder, print)
	: await demoProduct({deployment: deployment as 'mvule' | 'barid', isFull, logFolder}, print);
process.exitCode = isGood ? 0 : 1;

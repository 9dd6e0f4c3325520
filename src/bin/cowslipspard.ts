#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import meow from 'meow';
import {DaemonSettings} from '../config/daemon-settings.js';
import {formatIssue} from '../config/format-issue.js';
import {parseToml} from '../config/parse-toml.js';
import {createDaemon} from '../daemon.js';
import {guardProcess} from '../services/guard-process.js';

const exitInvalidSettings = 2;
const exitStartFailed = 3;
const exitRequestsCut = 4;
const exitErrorsRecur = 5;
const logLevels = ['error', 'warn', 'info', 'debug'];

const cli = meow(`
	Usage
	  $ cowslipspard --config FILE

	Options
	  --config     Settings file of this host (TOML)
	  --log-level  error, warn, info or debug; default: info

	Exit codes
	  0  planned stop, no request was cut off
	  2  invalid settings; no service was started
	  3  a service failed to start
	  4  planned stop, but requests were cut off at the end of the grace time
	  5  errors that nothing caught recurred within seconds

	Examples
	  $ cowslipspard --config /etc/cowslipspard.toml
	  $ cowslipspard --config dsm-a-1.toml --log-level debug
`, {
	importMeta: import.meta,
	flags: {
		config: {type: 'string', isRequired: true},
		logLevel: {type: 'string', default: 'info', choices: logLevels},
	},
});

function fail(code: number, lines: readonly string[]): never {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exit(code);
}

function readSettings(file: string): DaemonSettings {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (err) {
		return fail(exitInvalidSettings, [`${file}: failed to read the settings file: ${err instanceof Error ? err.message : String(err)}`]);
	}

	const settings = parseToml(file, text, DaemonSettings);
	return settings.success ? settings.data : fail(exitInvalidSettings, settings.error.map(issue => formatIssue(issue)));
}

const settings = readSettings(cli.flags.config);
const kernel = createDaemon({settings, logLevel: cli.flags.logLevel});
const started = await kernel.start();
if (!started.success) {
	fail(exitStartFailed, [started.error.message]);
}

const logger = kernel.get('logger');
guardProcess({
	process, clock: kernel.get('clock'), logger, metrics: kernel.get('metrics'), onRecurring() {
		process.exit(exitErrorsRecur);
	},
});
logger.info('daemon started', {region: settings.host.region, zone: settings.host.zone, callers: settings.listen.callers});

async function stop(): Promise<void> {
	const requestsCut = await kernel.get('stop').stop();
	const failures = await kernel.stop();
	for (const failure of failures) {
		logger.error('a service did not stop cleanly', {service: failure.name, err: String(failure.err)});
	}

	await logger.flush();
	process.exit(requestsCut === 0 ? 0 : exitRequestsCut);
}

function onSignal(signal: string): void {
	if (kernel.get('stop').isStopping) {
		logger.warn('a planned stop is already in progress; signal ignored', {signal});
		return;
	}

	void stop();
}

process.on('SIGTERM', onSignal);
process.on('SIGINT', onSignal);

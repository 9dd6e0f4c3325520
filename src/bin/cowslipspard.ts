#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import meow from 'meow';
import {DaemonSettings} from '../config/daemon-settings.js';
import {formatIssue} from '../config/format-issue.js';
import {parseToml} from '../config/parse-toml.js';
import {createDaemon} from '../daemon.js';

const exitBadSettings = 2;
const exitStartFailed = 3;
const exitRequestsCut = 4;
const logLevels = ['error', 'warn', 'info', 'debug'];

const cli = meow(`
	Usage
	  $ cowslipspard --config FILE

	Options
	  --config     Settings of this host (TOML)
	  --log-level  error, warn, info or debug; default: info

	Exit codes
	  0  stopped by plan, no request cut
	  2  bad settings: nothing was started
	  3  a service did not start
	  4  stopped by plan, but requests were cut at the end of the grace time

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
		return fail(exitBadSettings, [`${file}: cannot be read: ${err instanceof Error ? err.message : String(err)}`]);
	}

	const settings = parseToml(file, text, DaemonSettings);
	return settings.success ? settings.data : fail(exitBadSettings, settings.error.map(issue => formatIssue(issue)));
}

const settings = readSettings(cli.flags.config);
const kernel = createDaemon({settings, logLevel: cli.flags.logLevel});
const started = await kernel.start();
if (!started.success) {
	fail(exitStartFailed, [started.error.message]);
}

const logger = kernel.get('logger');
logger.info('daemon started', {region: settings.host.region, zone: settings.host.zone, callers: settings.listen.callers});

async function stop(): Promise<void> {
	const cut = await kernel.get('stop').stop();
	const failures = await kernel.stop();
	for (const failure of failures) {
		logger.error('a service did not stop cleanly', {service: failure.name, err: String(failure.err)});
	}

	await logger.flush();
	process.exit(cut === 0 ? 0 : exitRequestsCut);
}

function onSignal(signal: string): void {
	if (kernel.get('stop').isStopping) {
		logger.warn('a planned stop is under way already; the signal changes nothing', {signal});
		return;
	}

	void stop();
}

process.on('SIGTERM', onSignal);
process.on('SIGINT', onSignal);

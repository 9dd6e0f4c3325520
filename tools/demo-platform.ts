import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {LatencyTable} from './latency-table.js';
import {PlatformFleet} from './platform-fleet.js';
import {runPlatformLoad} from './platform-load.js';
import {platformScenario} from './platform-scenario.js';
import {platformViolations} from './platform-violations.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const {host, services} = platformScenario;
const {route, configuration, nonRepeatable} = platformDocuments;
const routes = [
	route('lot-view', '/lots/', {service: 'catalogue'}),
	route('settle', '/settle/', {service: 'ledger', ...nonRepeatable, priority: 0}),
];
const addedRoute = route('news', '/news/', {service: 'catalogue'});
const loadMs = 8000;
const crashAfterMs = 2000;
const leaseExpiryMs = 1000;
const publishAfterMs = 1500;
const stopAfterMs = 1500;

/** Runs the daemon against stand-ins of the platform while an instance crashes, a configuration is published and a host stops; returns whether all guarantees held. */
export async function demoPlatform(logFolder: string | undefined, print: (line: string) => void): Promise<boolean> {
	const fleet = new PlatformFleet({root, logFolder});
	try {
		print(`starting the store and ${fleet.instances.length} instances`);
		await fleet.startStandIns(configuration(1, routes, services));
		print(`building the daemon and starting it on ${fleet.hosts.length} hosts`);
		const startMs = performance.now();
		await fleet.startDaemons();
		print(`all hosts accept requests after ${Math.round(performance.now() - startMs)} ms`);

		const table = new LatencyTable();
		const refused: string[] = [];
		print(`sending requests for ${loadMs / 1000} s`);
		const sending = runPlatformLoad({
			fleet, durationMs: loadMs, seed: 1, table, refused,
		});
		const {stopCode, inForceMs} = await runEvents(fleet, print);
		await sending;
		const violations = platformViolations(fleet, refused);
		const rows = table.summaries();
		print(table.lines().join('\n'));
		const isGood = stopCode === 0 && violations.doubleRuns === 0 && violations.falseRefusals === 0 && rows.every(row => row.wrong === 0 && row.whole > 0);
		process.stdout.write(`${JSON.stringify({
			demo: 'platform', hosts: fleet.hosts.length, isGood, stopCode, inForceMs, ...violations, sent: rows.reduce((sum, row) => sum + row.sent, 0), kinds: rows,
		})}\n`);
		return isGood;
	} finally {
		await fleet.close();
	}
}

/** Crashes an instance, publishes a configuration and stops a host while the clients send; returns the stopped daemon's exit code and the time until the configuration is in force at all hosts. */
async function runEvents(fleet: PlatformFleet, print: (line: string) => void): Promise<{readonly stopCode: number; readonly inForceMs: number}> {
	await delay(crashAfterMs);
	const [crashed] = fleet.instances;
	print(`instance ${crashed!.id} crashes`);
	await fleet.crash(crashed!, leaseExpiryMs);
	await delay(publishAfterMs);
	const startMs = performance.now();
	fleet.publish(configuration(2, [...routes, addedRoute], services));
	await fleet.untilAllRespond('/news/1', host, 200);
	const inForceMs = Math.round(performance.now() - startMs);
	print(`configuration 2 is in force at all hosts after ${inForceMs} ms`);
	await delay(stopAfterMs);
	const stoppingId = fleet.hosts[1]!.id;
	print(`planned stop of ${stoppingId}`);
	const stopCode = await fleet.stopDaemon(stoppingId);
	print(`${stoppingId} exited with code ${stopCode}`);
	return {stopCode, inForceMs};
}

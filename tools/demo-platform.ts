import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {LatencyTable} from './latency-table.js';
import {PlatformFleet} from './platform-fleet.js';
import {runPlatformLoad} from './platform-load.js';
import {platformScenario} from './platform-scenario.js';
import {platformTruth} from './platform-truth.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const {host, services} = platformScenario;
const {route, configuration, unrepeatable} = platformDocuments;
const routes = [
	route('lot-view', '/lots/', {service: 'catalogue'}),
	route('settle', '/settle/', {service: 'ledger', ...unrepeatable, priority: 0}),
];
const addedRoute = route('news', '/news/', {service: 'catalogue'});
const loadMs = 8000;
const crashAfterMs = 2000;
const lapseMs = 1000;
const publishAfterMs = 1500;
const stopAfterMs = 1500;

/** Runs the daemon against stand-ins of the platform while an instance crashes, a configuration comes and a host stops; answers whether all promises were kept. */
export async function demoPlatform(logFolder: string | undefined, say: (line: string) => void): Promise<boolean> {
	const fleet = new PlatformFleet({root, logFolder});
	try {
		say(`starting the store and ${fleet.instances.length} instances`);
		await fleet.startStandIns(configuration(1, routes, services));
		say(`building the daemon and starting it on ${fleet.hosts.length} hosts`);
		const startMs = performance.now();
		await fleet.startDaemons();
		say(`all hosts take requests after ${Math.round(performance.now() - startMs)} ms`);

		const table = new LatencyTable();
		const refused: string[] = [];
		say(`clients send for ${loadMs / 1000} s`);
		const sending = runPlatformLoad({
			fleet, durationMs: loadMs, seed: 1, table, refused,
		});
		const {stopCode, inForceMs} = await disturb(fleet, say);
		await sending;
		const broken = platformTruth(fleet, refused);
		const rows = table.summaries();
		say(table.lines().join('\n'));
		const isGood = stopCode === 0 && broken.doubleRuns === 0 && broken.falseRefusals === 0 && rows.every(row => row.wrong === 0 && row.whole > 0);
		process.stdout.write(`${JSON.stringify({
			demo: 'platform', hosts: fleet.hosts.length, isGood, stopCode, inForceMs, ...broken, sent: rows.reduce((sum, row) => sum + row.sent, 0), kinds: rows,
		})}\n`);
		return isGood;
	} finally {
		await fleet.close();
	}
}

/** What happens while the clients send; answers the stopped daemon's exit code and the time until a configuration is in force everywhere, in milliseconds. */
async function disturb(fleet: PlatformFleet, say: (line: string) => void): Promise<{readonly stopCode: number; readonly inForceMs: number}> {
	await delay(crashAfterMs);
	const [lost] = fleet.instances;
	say(`instance ${lost!.id} crashes`);
	await fleet.crash(lost!, lapseMs);
	await delay(publishAfterMs);
	const startMs = performance.now();
	fleet.publish(configuration(2, [...routes, addedRoute], services));
	await fleet.untilAllAnswer('/news/1', host, 200);
	const inForceMs = Math.round(performance.now() - startMs);
	say(`configuration 2 is in force at all hosts after ${inForceMs} ms`);
	await delay(stopAfterMs);
	const leaving = fleet.hosts[1]!.id;
	say(`planned stop of ${leaving}`);
	const stopCode = await fleet.stopDaemon(leaving);
	say(`${leaving} has ended with exit code ${stopCode}`);
	return {stopCode, inForceMs};
}

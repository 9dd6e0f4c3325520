import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {LatencyTable} from './latency-table.js';
import {PlatformFaults} from './platform-faults.js';
import {PlatformFleet} from './platform-fleet.js';
import {runPlatformLoad} from './platform-load.js';
import {platformScenario} from './platform-scenario.js';
import {platformViolations} from './platform-violations.js';
import {RevisionWatch} from './revision-watch.js';

type SoakOptions = {readonly seed: number; readonly minutes: number; readonly logFolder: string | undefined};

const root = fileURLToPath(new URL('../..', import.meta.url));
const msPerMinute = 60_000;
const settleMs = 3000;
const shortestTargetMs = 200;
const {services} = platformScenario;
const {
	route, configuration, nonRepeatable, withTarget,
} = platformDocuments;

/** Returns the configuration of a version; versions differ in the target of one route. */
const configurationOf = (version: number) => configuration(version, [
	route('lot-view', '/lots/', {service: 'catalogue', ...withTarget(shortestTargetMs + version)}),
	route('settle', '/settle/', {service: 'ledger', ...nonRepeatable, priority: 0}),
], services);

/** Runs the daemon against stand-ins of the platform under load and seeded random faults; returns whether all guarantees held. */
export async function soakPlatform({seed, minutes, logFolder}: SoakOptions, print: (line: string) => void): Promise<boolean> {
	const fleet = new PlatformFleet({root, logFolder});
	try {
		await fleet.startStandIns(configurationOf(1));
		await fleet.startDaemons();
		print(`${fleet.hosts.length} hosts accept requests; seed ${seed}`);
		const durationMs = minutes * msPerMinute;
		const table = new LatencyTable();
		const refused: string[] = [];
		const faults = new PlatformFaults({
			fleet,
			random: new SeededRandom(seed),
			publish(version) {
				fleet.publish(configurationOf(version));
			},
			print,
		});
		const watch = new RevisionWatch(fleet);
		await Promise.all([
			runPlatformLoad({
				fleet, durationMs, seed, table, refused,
			}),
			faults.run(durationMs),
		]);
		await delay(settleMs);
		watch.close();
		const statuses = await Promise.all(fleet.hosts.map(async ({id}) => fleet.status(id)));
		const rows = table.summaries();
		const violations = {
			...platformViolations(fleet, refused),
			wrongAnswers: rows.reduce((sum, row) => sum + row.wrong, 0),
			newWorkAfterDrain: faults.requestsAfterDrain,
			newWorkAfterLeaving: faults.requestsAfterLeaving,
			configReverts: watch.reverts,
			hostsBehindAfterRestore: faults.hostsBehindAfterRestore,
			hostsBehind: statuses.filter(status => status?.revision !== faults.version).length,
			unexpectedExits: faults.unexpectedExits,
		};
		const isGood = Object.values(violations).every(count => count === 0);
		print(table.lines().join('\n'));
		process.stdout.write(`${JSON.stringify({
			soak: 'platform',
			seed,
			minutes,
			hosts: fleet.hosts.length,
			faults: Object.fromEntries(faults.counts),
			versions: faults.version,
			...violations,
			isGood,
			kinds: rows,
		})}\n`);
		return isGood;
	} finally {
		await fleet.close();
	}
}

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Caller} from '../src/caller.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {Fleet} from './fleet.js';
import {LatencyTable} from './latency-table.js';
import {runLoad} from './load.js';
import {publish} from './publish.js';
import {streamsForClasses} from './streams-for-classes.js';

type DemoOptions = {readonly deployment: 'mvule' | 'barid'; readonly isFull: boolean; readonly logFolder: string | undefined};

const loadMs = 8000;
const stopAfterMs = 2000;
const meanMs = 8;
/** Requests per second of each class, indexed by priority; 1 is the most urgent. */
const ratesByPriority = [0, 40, 40, 20];

/** Runs the daemons with the product's own interface against stand-ins while one host makes a planned stop; returns whether all guarantees held. */
export async function demoProduct({deployment, isFull, logFolder}: DemoOptions, print: (line: string) => void): Promise<boolean> {
	const fleet = new Fleet({
		deployment, hostsPerZone: isFull ? 3 : 1, meanMs, seed: 1, ...(logFolder !== undefined && {logFolder}),
	});
	try {
		print(`starting the store, the host list and the upstream instances of ${deployment}`);
		await fleet.startStandIns();
		print(`starting ${fleet.hosts.length} daemons`);
		await fleet.startDaemons();
		const startMs = performance.now();
		const revision = await publish(fleet);
		await fleet.untilReady();
		print(`revision ${revision} is in force at all hosts after ${Math.round(performance.now() - startMs)} ms`);

		const table = new LatencyTable();
		const unknownOutcomes: string[] = [];
		const callers = fleet.publication.deployment.regions.map(region => new Caller({hosts: fleet.hosts.filter(host => host.region === region.name).map(host => host.callers)}));
		const stoppingId = fleet.hosts[1]!.id;
		const stopping = stopAfterDelay(fleet, stoppingId, print);
		print(`sending requests of every class for ${loadMs / 1000} s`);
		await runLoad({
			streams: streamsForClasses(fleet.publication, priority => ratesByPriority[priority] ?? 0),
			callers,
			durationMs: loadMs,
			random: new SeededRandom(7),
			onFinished({stream, outcome, latencyMs, isOwnResponse}) {
				table.add(`${stream.service}/${stream.className}`, outcome, latencyMs, isOwnResponse);
				if (outcome.kind === 'unknown') {
					unknownOutcomes.push(`${stream.service}/${stream.className}: ${outcome.reason}: ${outcome.detail}`);
				}
			},
		});
		const stopCode = await stopping;
		for (const caller of callers) {
			caller.close();
		}

		const upstreamRuns = await fleet.controlUpstreams('/truth');
		const doubleRuns = upstreamRuns.flatMap(item => Object.values(item.runsByKey as Record<string, number>)).filter(runs => runs > 1).length;
		const rows = table.summaries();
		const isGood = rows.every(row => row.unknown === 0 && row.wrong === 0) && stopCode === 0 && doubleRuns === 0;
		print(table.lines().join('\n'));
		for (const line of unknownOutcomes.slice(0, 10)) {
			print(line);
		}

		process.stdout.write(`${JSON.stringify({
			demo: deployment, hosts: fleet.hosts.length, isGood, stopCode, doubleRuns, classes: rows,
		})}\n`);
		return isGood;
	} finally {
		await fleet.close();
	}
}

async function stopAfterDelay(fleet: Fleet, id: string, print: (line: string) => void): Promise<number> {
	await delay(stopAfterMs);
	print(`planned stop of ${id}`);
	const code = await fleet.stopDaemon(id);
	print(`${id} exited with code ${code}`);
	return code;
}

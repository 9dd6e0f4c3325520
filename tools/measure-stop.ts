import {setTimeout as delay} from 'node:timers/promises';
import {Caller} from '../src/caller.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {Fleet} from './fleet.js';
import {LatencyTable} from './latency-table.js';
import {runLoad} from './load.js';
import {percentiles} from './percentiles.js';
import {startFleet} from './start-fleet.js';
import {streamsForClasses} from './streams-for-classes.js';

const stopCount = 6;
const warmUpMs = 5000;
/** Time between the restart of a stopped host and the next stop. */
const pauseMs = 1500;
const lookupTtlMs = 2000;
/** Requests per second of each class, indexed by priority; 1 is the most urgent. */
const ratesByPriority = [0, 30, 30, 15];

/** Measures planned stops of one host after another under load: the duration of each, and the requests that were interrupted. */
export async function measureStop(): Promise<Record<string, unknown>> {
	const fleet = new Fleet({
		deployment: 'mvule', hostsPerZone: 3, meanMs: 8, seed: 1, extraSettings: `[stop]\nlookupTtlMs = ${lookupTtlMs}\ngraceMs = 20000\n`,
	});
	const callers = fleet.publication.deployment.regions.map(region => new Caller({hosts: fleet.hosts.filter(host => host.region === region.name).map(host => host.callers)}));
	try {
		await startFleet(fleet);
		const table = new LatencyTable();
		const drainMs: number[] = [];
		const exitCodes: number[] = [];
		const loading = runLoad({
			streams: streamsForClasses(fleet.publication, priority => ratesByPriority[priority] ?? 0),
			callers,
			durationMs: warmUpMs + (stopCount * (lookupTtlMs + pauseMs + 2500)),
			random: new SeededRandom(3),
			onFinished({stream, outcome, latencyMs, isOwnResponse}) {
				table.add(stream.className, outcome, latencyMs, isOwnResponse);
			},
		});
		await delay(warmUpMs);
		for (let index = 0; index < stopCount; index++) {
			const {id} = fleet.hosts[index * 3]!;
			const startMs = performance.now();
			exitCodes.push(await fleet.stopDaemon(id));
			drainMs.push(performance.now() - startMs);
			await fleet.startDaemon(id);
			await delay(pauseMs);
		}

		await loading;
		const upstreamRuns = await fleet.controlUpstreams('/truth');
		const doubleRuns = upstreamRuns.flatMap(item => Object.values(item.runsByKey as Record<string, number>)).filter(runs => runs > 1).length;
		const rows = table.summaries();
		return {
			hosts: fleet.hosts.length,
			stops: exitCodes.length,
			exitCodes,
			drainMs: percentiles(drainMs),
			lookupTtlMs,
			requests: rows.reduce((sum, row) => sum + row.sent, 0),
			notRun: rows.reduce((sum, row) => sum + row.notRun, 0),
			unknown: rows.reduce((sum, row) => sum + row.unknown, 0),
			wrong: rows.reduce((sum, row) => sum + row.wrong, 0),
			doubleRuns,
		};
	} finally {
		for (const caller of callers) {
			caller.close();
		}

		await fleet.close();
	}
}

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import meow from 'meow';
import {Caller} from '../src/caller.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {Fleet} from './fleet.js';
import {LatencyTable} from './latency-table.js';
import {runLoad} from './load.js';
import {publish} from './publish.js';
import {streamsOf} from './streams-of.js';

const cli = meow(`
	Usage
	  $ npm run demo -- [--full] [--deployment mvule|barid]

	Starts the stand-ins and one daemon in each availability zone (three with --full), publishes the example,
	sends work of every class, stops one host by plan on the way, and ends with one JSON line.
`, {
	importMeta: import.meta,
	flags: {
		full: {type: 'boolean', default: false},
		deployment: {type: 'string', default: 'mvule', choices: ['mvule', 'barid']},
		logs: {type: 'string'},
	},
});

const loadMs = 8000;
const stopAfterMs = 2000;
const meanMs = 8;
/** Requests a second of each class by priority, from 1, the most urgent. */
const rates = [0, 40, 40, 20];

async function stopOne(id: string): Promise<number> {
	await delay(stopAfterMs);
	say(`planned stop of ${id}`);
	const code = await fleet.stopDaemon(id);
	say(`${id} has ended with exit code ${code}`);
	return code;
}

function say(line: string): void {
	process.stderr.write(`${line}\n`);
}

const deployment = cli.flags.deployment as 'mvule' | 'barid';
const fleet = new Fleet({
	deployment, hostsPerZone: cli.flags.full ? 3 : 1, meanMs, seed: 1, ...(cli.flags.logs !== undefined && {logFolder: cli.flags.logs}),
});
try {
	say(`starting the store, the host list and the upstream instances of ${deployment}`);
	await fleet.startStandIns();
	say(`starting ${fleet.hosts.length} daemons`);
	await fleet.startDaemons();
	const startMs = performance.now();
	const revision = await publish(fleet);
	await fleet.untilReady();
	say(`revision ${revision} is in force at all hosts after ${Math.round(performance.now() - startMs)} ms`);

	const table = new LatencyTable();
	const unproven: string[] = [];
	const callers = fleet.publication.deployment.regions.map(region => new Caller({hosts: fleet.hosts.filter(host => host.region === region.name).map(host => host.callers)}));
	const leaving = fleet.hosts[1]!.id;
	const stopping = stopOne(leaving);
	say(`sending work of every class for ${loadMs / 1000} s`);
	await runLoad({
		streams: streamsOf(fleet.publication, priority => rates[priority] ?? 0),
		callers,
		durationMs: loadMs,
		random: new SeededRandom(7),
		onFinished({stream, outcome, latencyMs, isOwn}) {
			table.add(`${stream.service}/${stream.className}`, outcome, latencyMs, isOwn);
			if (outcome.kind === 'unknown') {
				unproven.push(`${stream.service}/${stream.className}: ${outcome.reason}: ${outcome.detail}`);
			}
		},
	});
	const stopCode = await stopping;
	for (const caller of callers) {
		caller.close();
	}

	const truth = await fleet.upstreams('/truth');
	const doubleRuns = truth.flatMap(item => Object.values(item.runsByKey as Record<string, number>)).filter(runs => runs > 1).length;
	const rows = table.summaries();
	const isGood = rows.every(row => row.unknown === 0 && row.wrong === 0) && stopCode === 0 && doubleRuns === 0;
	say(table.lines().join('\n'));
	for (const line of unproven.slice(0, 10)) {
		say(line);
	}

	process.stdout.write(`${JSON.stringify({
		demo: deployment, hosts: fleet.hosts.length, isGood, stopCode, doubleRuns, classes: rows,
	})}\n`);
	process.exitCode = isGood ? 0 : 1;
} finally {
	await fleet.close();
}

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Caller} from '../src/caller.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {FaultInjector} from './fault-injector.js';
import {Fleet} from './fleet.js';
import {LatencyTable} from './latency-table.js';
import {runLoad} from './load.js';
import {startFleet} from './start-fleet.js';
import {RevisionWatch} from './revision-watch.js';
import {streamsForClasses} from './streams-for-classes.js';

type SoakOptions = {
	readonly deployment: 'mvule' | 'barid';
	readonly hostsPerZone: number;
	readonly seed: number;
	readonly minutes: number;
	/** Names of the faults to inject. */
	readonly faults: readonly string[];
	readonly logFolder: string | undefined;
};

const meanMs = 15;
const msPerMinute = 60_000;
const settleMs = 3000;
/** Requests per second of each class, indexed by priority; 1 is the most urgent. */
const ratesByPriority = [0, 15, 15, 8];
const floodPerSecond = 400;
const poisonPerSecond = 0.1;
/** Number of instances that one request may crash before it must be quarantined. */
const maxCrashesPerRequest = 2;

/** Runs daemons with the product's own interface against stand-ins under load and seeded random faults; returns whether all guarantees held. */
export async function soakProduct(options: SoakOptions, print: (line: string) => void): Promise<boolean> {
	const {
		deployment, hostsPerZone, seed, minutes, faults, logFolder,
	} = options;
	const fleet = new Fleet({
		deployment, hostsPerZone, meanMs, seed, ...(logFolder !== undefined && {logFolder}),
	});
	const callers = fleet.publication.deployment.regions.map(region => new Caller({hosts: fleet.hosts.filter(host => host.region === region.name).map(host => host.callers)}));
	try {
		await startFleet(fleet);
		print(`${fleet.hosts.length} hosts serve; seed ${seed}`);
		const durationMs = minutes * msPerMinute;
		const table = new LatencyTable();
		const notRunBodies: string[] = [];
		const reasons = new Map<string, number>();
		const base = streamsForClasses(fleet.publication, priority => ratesByPriority[priority] ?? 0);
		const repeatable = base.find(stream => stream.isRepeatable)!;
		const streams = [
			...base,
			...(faults.includes('poison') ? [{...repeatable, perSecond: poisonPerSecond, marker: 'poison-'}] : []),
		];
		const onFinished: Parameters<typeof runLoad>[0]['onFinished'] = ({stream, outcome, latencyMs, isOwnResponse, body}) => {
			table.add(`${stream.service}/${stream.className}${stream.marker ?? ''}`, outcome, latencyMs, isOwnResponse);
			if (outcome.kind !== 'whole') {
				const reason = `${stream.isRepeatable ? 'repeatable' : 'keyed'} ${outcome.kind} ${outcome.reason}`;
				reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
			}

			if (outcome.kind === 'not-run') {
				notRunBodies.push(body);
			}
		};

		const sendFloods = async () => {
			const flooded = {...base.at(-1)!, perSecond: floodPerSecond, deadlineMs: 2000};
			const endMs = performance.now() + durationMs - 10_000;
			while (faults.includes('flood') && performance.now() < endMs) {
				await delay(15_000);
				print('flood of the least urgent class for 5 s');
				await runLoad({
					streams: [flooded], callers, durationMs: 5000, random: new SeededRandom(seed + 2), onFinished,
				});
			}
		};

		const injector = new FaultInjector({
			fleet, random: new SeededRandom(seed), faults: FaultInjector.names.filter(name => faults.includes(name)), print,
		});
		const watch = new RevisionWatch(fleet);
		const injecting = injector.run(durationMs);
		await Promise.all([
			runLoad({
				streams, callers, durationMs, random: new SeededRandom(seed + 1), onFinished,
			}),
			injecting,
			sendFloods(),
		]);
		await delay(settleMs);
		watch.close();

		const upstreamRuns = await fleet.controlUpstreams('/truth');
		const runsByBody = new Map<string, number>();
		const runsByKey = new Map<string, number>();
		let newWorkAfterLeaving = 0;
		for (const instance of upstreamRuns) {
			newWorkAfterLeaving += Number(instance.newWorkAfterLeaving);
			for (const [counts, from] of [[runsByBody, instance.runsByBody], [runsByKey, instance.runsByKey]] as const) {
				for (const [key, runs] of Object.entries(from as Record<string, number>)) {
					counts.set(key, (counts.get(key) ?? 0) + runs);
				}
			}
		}

		const rows = table.summaries();
		const sum = (pick: (row: (typeof rows)[number]) => number) => rows.reduce((total, row) => total + pick(row), 0);
		const violations = {
			doubleRuns: [...runsByKey.values()].filter(runs => runs > 1).length,
			falseNotRun: notRunBodies.filter(body => runsByBody.has(body)).length,
			wrongAnswers: sum(row => row.wrong),
			cutByStop: injector.cutByStop,
			newWorkAfterLeaving,
			poisonOverruns: [...runsByBody].filter(([body, runs]) => body.startsWith('poison-') && runs > maxCrashesPerRequest).length,
			configReverts: watch.reverts,
			brokenInvariants: injector.unexpectedExits,
		};
		print(table.lines().join('\n'));
		for (const [reason, count] of [...reasons].toSorted((a, b) => b[1] - a[1])) {
			print(`${String(count).padStart(7)} ${reason}`);
		}

		const isGood = Object.values(violations).every(count => count === 0);
		process.stdout.write(`${JSON.stringify({
			soak: deployment,
			seed,
			minutes,
			hosts: fleet.hosts.length,
			faults: Object.fromEntries(injector.counts),
			requests: sum(row => row.sent),
			whole: sum(row => row.whole),
			notRun: sum(row => row.notRun),
			unknown: sum(row => row.unknown),
			publications: watch.highestRevision,
			...violations,
			isGood,
			classes: rows,
		})}\n`);
		return isGood;
	} finally {
		for (const caller of callers) {
			caller.close();
		}

		await fleet.close();
	}
}

import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {type Outcome} from '../src/contracts/outcome.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {LatencyTable} from './latency-table.js';
import {PlatformFleet} from './platform-fleet.js';

type Kind = {readonly name: string; readonly path: string; readonly method: 'GET' | 'POST'; readonly perSecond: number};
type Answer = Awaited<ReturnType<ReturnType<PlatformFleet['client']>['send']>>;

const root = fileURLToPath(new URL('../..', import.meta.url));
const host = 'shop.example';
const kinds: readonly Kind[] = [
	{
		name: 'lot-view', path: '/lots/', method: 'GET', perSecond: 60,
	},
	{
		name: 'settle', path: '/settle/', method: 'POST', perSecond: 30,
	},
];
const {route, configuration, unrepeatable} = platformDocuments;
const routes = [
	route('lot-view', '/lots/', {service: 'catalogue'}),
	route('settle', '/settle/', {service: 'ledger', ...unrepeatable, priority: 0}),
];
const addedRoute = route('news', '/news/', {service: 'catalogue'});
const services = ['catalogue', 'ledger'];
const loadMs = 8000;
const crashAfterMs = 2000;
const lapseMs = 1000;
const publishAfterMs = 1500;
const stopAfterMs = 1500;
const objects = 40;
const deadlineMs = 2000;
const refusalStatuses = new Set([408, 421, 429, 503]);

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
		const sending = Promise.all(fleet.hosts.map(async ({zone}, index) => sendLoad({
			client: fleet.client(zone, host), seed: index, perSecondPart: 1 / fleet.hosts.length, table, refused,
		})));
		const {stopCode, inForceMs} = await disturb(fleet, say);
		await sending;
		const result = judge(fleet, table, refused);
		say(table.lines().join('\n'));
		const isGood = stopCode === 0 && result.doubleRuns === 0 && result.falseRefusals === 0 && table.summaries().every(row => row.wrong === 0 && row.whole > 0);
		process.stdout.write(`${JSON.stringify({
			demo: 'platform', hosts: fleet.hosts.length, isGood, stopCode, inForceMs, ...result, kinds: table.summaries(),
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

type Load = {
	readonly client: ReturnType<PlatformFleet['client']>;
	readonly seed: number;
	/** Part of each kind's rate that this client sends. */
	readonly perSecondPart: number;
	readonly table: LatencyTable;
	/** Ids of the requests that were refused as not run. */
	readonly refused: string[];
};

async function sendLoad({client, seed, perSecondPart, table, refused}: Load): Promise<void> {
	const random = new SeededRandom(seed);
	const endMs = performance.now() + loadMs;
	const underWay: Array<Promise<void>> = [];
	const sendOne = async (kind: Kind) => {
		const id = randomUUID();
		const sentMs = performance.now();
		const answer = await client.send({
			id, method: kind.method, path: `${kind.path}${id}`, objectKey: `k${Math.floor(random.next() * objects)}`, deadlineMs, body: kind.method === 'POST' ? id : '',
		});
		const outcome = toOutcome(answer);
		if (outcome.kind === 'not-run') {
			refused.push(id);
		}

		table.add(kind.name, outcome, performance.now() - sentMs, answer.kind === 'answered' && answer.text === `answer to ${id}`);
	};

	await Promise.all(kinds.map(async kind => {
		while (performance.now() < endMs) {
			await delay(-Math.log(1 - random.next()) * 1000 / (kind.perSecond * perSecondPart));
			underWay.push(sendOne(kind));
		}
	}));
	await Promise.all(underWay);
}

function toOutcome(answer: Answer): Outcome {
	if (answer.kind === 'lost') {
		return {kind: 'unknown', reason: 'connection_lost', detail: answer.detail};
	}

	if (refusalStatuses.has(answer.status)) {
		return {
			kind: 'not-run', reason: 'shed', detail: `status ${answer.status}`, retryAfterMs: answer.retryAfterMs,
		};
	}

	return answer.status === 200
		? {
			kind: 'whole', status: answer.status, headers: {}, body: Buffer.from(answer.text), isReplay: false,
		}
		: {kind: 'unknown', reason: 'answer_broken', detail: `status ${answer.status}`};
}

/** Compares what clients were told with what the instances ran. */
function judge(fleet: PlatformFleet, table: LatencyTable, refused: readonly string[]): {readonly doubleRuns: number; readonly falseRefusals: number; readonly sent: number} {
	const runs = new Map<string, number>();
	for (const {requestId, method} of fleet.instances.flatMap(({standIn}) => standIn.ran)) {
		if (method === 'POST') {
			runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		}
	}

	const ran = new Set(fleet.instances.flatMap(({standIn}) => standIn.ran.map(({requestId}) => requestId)));
	return {
		doubleRuns: [...runs.values()].filter(count => count > 1).length,
		falseRefusals: refused.filter(id => ran.has(id)).length,
		sent: table.summaries().reduce((sum, row) => sum + row.sent, 0),
	};
}

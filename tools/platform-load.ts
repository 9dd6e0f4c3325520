import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Outcome} from '../src/contracts/outcome.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {type LatencyTable} from './latency-table.js';
import {type PlatformFleet} from './platform-fleet.js';
import {platformScenario} from './platform-scenario.js';

type Client = ReturnType<PlatformFleet['client']>;

type Kind = typeof platformScenario.kinds[number];

type LoadOptions = {
	readonly fleet: PlatformFleet;
	readonly durationMs: number;
	readonly seed: number;
	readonly table: LatencyTable;
	/** Takes in the ids of the requests that were refused as not run. */
	readonly refused: string[];
};

const objects = 40;
const deadlineMs = 2000;
const refusalStatuses = new Set([408, 421, 429, 503]);

/** Sends an open load from a client in each zone for a time and waits for every answer. */
export async function runPlatformLoad(options: LoadOptions): Promise<void> {
	const {fleet, seed} = options;
	await Promise.all(fleet.hosts.map(async ({zone}, index) => sendFrom(fleet.client(zone, platformScenario.host), new SeededRandom(seed + index), options)));
}

async function sendFrom(client: Client, random: SeededRandom, options: LoadOptions): Promise<void> {
	const {fleet, durationMs} = options;
	const endMs = performance.now() + durationMs;
	const underWay = new Set<Promise<void>>();
	await Promise.all(platformScenario.kinds.map(async kind => {
		while (performance.now() < endMs) {
			await delay(-Math.log(1 - random.next()) * 1000 * fleet.hosts.length / kind.perSecond);
			const sending = sendOne(client, kind, `k${random.below(objects)}`, options);
			underWay.add(sending);
			void sending.finally(() => underWay.delete(sending));
		}
	}));
	await Promise.all(underWay);
}

async function sendOne(client: Client, kind: Kind, objectKey: string, {table, refused}: LoadOptions): Promise<void> {
	const id = randomUUID();
	const sentMs = performance.now();
	const answer = await client.send({
		id, method: kind.method, path: `${kind.path}${id}`, objectKey, deadlineMs, body: kind.method === 'POST' ? id : '',
	});
	const outcome = toOutcome(answer);
	if (outcome.kind === 'not-run') {
		refused.push(id);
	}

	table.add(kind.name, outcome, performance.now() - sentMs, answer.kind === 'answered' && answer.text === `answer to ${id}`);
}

function toOutcome(answer: Awaited<ReturnType<Client['send']>>): Outcome {
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

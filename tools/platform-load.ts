import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Outcome} from '../src/contracts/outcome.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {type LatencyTable} from './latency-table.js';
import {type PlatformFleet} from './platform-fleet.js';
import {platformScenario} from './platform-scenario.js';

type Client = ReturnType<PlatformFleet['createClient']>;

type Kind = typeof platformScenario.kinds[number];

type LoadOptions = {
	readonly fleet: PlatformFleet;
	readonly durationMs: number;
	readonly seed: number;
	readonly table: LatencyTable;
	/** List to which the ids of requests that were refused as not run are added. */
	readonly refused: string[];
};

const objectCount = 40;
const deadlineMs = 2000;
const refusalStatuses = new Set([408, 421, 429, 503]);

/** Sends an open-loop load from a client in each zone for a period and waits until every request has an outcome. */
export async function runPlatformLoad(options: LoadOptions): Promise<void> {
	const {fleet, seed} = options;
	await Promise.all(fleet.hosts.map(async ({zone}, index) => sendFrom(fleet.createClient(zone, platformScenario.host), new SeededRandom(seed + index), options)));
}

async function sendFrom(client: Client, random: SeededRandom, options: LoadOptions): Promise<void> {
	const {fleet, durationMs} = options;
	const endMs = performance.now() + durationMs;
	const inFlight = new Set<Promise<void>>();
	await Promise.all(platformScenario.kinds.map(async kind => {
		while (performance.now() < endMs) {
			await delay(-Math.log(1 - random.next()) * 1000 * fleet.hosts.length / kind.perSecond);
			const sending = sendOne(client, kind, `k${random.below(objectCount)}`, options);
			inFlight.add(sending);
			void sending.finally(() => inFlight.delete(sending));
		}
	}));
	await Promise.all(inFlight);
}

async function sendOne(client: Client, kind: Kind, objectKey: string, {table, refused}: LoadOptions): Promise<void> {
	const id = randomUUID();
	const sentMs = performance.now();
	const response = await client.send({
		id, method: kind.method, path: `${kind.path}${id}`, objectKey, deadlineMs, body: kind.method === 'POST' ? id : '',
	});
	const outcome = toOutcome(response);
	if (outcome.kind === 'not-run') {
		refused.push(id);
	}

	table.add(kind.name, outcome, performance.now() - sentMs, response.kind === 'answered' && response.text === `answer to ${id}`);
}

function toOutcome(response: Awaited<ReturnType<Client['send']>>): Outcome {
	if (response.kind === 'lost') {
		return {kind: 'unknown', reason: 'connection_lost', detail: response.detail};
	}

	if (refusalStatuses.has(response.status)) {
		return {
			kind: 'not-run', reason: 'shed', detail: `status ${response.status}`, retryAfterMs: response.retryAfterMs,
		};
	}

	return response.status === 200
		? {
			kind: 'whole', status: response.status, headers: {}, body: Buffer.from(response.text), isReplay: false,
		}
		: {kind: 'unknown', reason: 'answer_broken', detail: `status ${response.status}`};
}

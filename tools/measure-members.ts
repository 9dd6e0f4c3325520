import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {SimulatedNetwork} from '../stand-ins/simulated-network.js';
import {Fleet} from './fleet.js';
import {percentiles} from './percentiles.js';
import {processUsage} from './process-usage.js';
import {startFleet} from './start-fleet.js';
import {readMetric} from './read-metric.js';
import {fitLine} from './fit-line.js';

const settleMs = 6000;
const sampleMs = 15_000;
const killCount = 3;
const pollMs = 50;
const secondsPerMs = 0.001;

type Size = {
	readonly hosts: number;
	readonly perRegion: number;
	readonly bytesPerSecond: number;
	readonly messagesPerSecond: number;
	readonly corePercent: number;
	readonly rssMb: number;
	readonly detectionMs: ReturnType<typeof percentiles>;
};

/** Measures the cost of membership per host by the number of hosts, the time to detect a failure, and the false suspicions under message loss and pauses. */
export async function measureMembers(): Promise<Record<string, unknown>> {
	const sizes: Size[] = [];
	for (const hostsPerZone of [1, 3, 8, 14]) {
		sizes.push(await measureSize(hostsPerZone));
	}

	const fit = (pick: (size: Size) => number) => fitLine(sizes.map(size => ({x: size.perRegion, y: pick(size)})));
	return {
		sizes,
		perHostOfTheRegion: {
			bytesPerSecond: fit(size => size.bytesPerSecond), corePercent: fit(size => size.corePercent), rssMb: fit(size => size.rssMb),
		},
		virtualTime: simulateFaults(),
	};
}

async function measureSize(hostsPerZone: number): Promise<Size> {
	const fleet = new Fleet({
		deployment: 'mvule', hostsPerZone, meanMs: 5, seed: 1,
	});
	try {
		await startFleet(fleet);
		await delay(settleMs);
		const before = await readUsage(fleet);
		await delay(sampleMs);
		const after = await readUsage(fleet);
		const count = fleet.hosts.length;
		const seconds = sampleMs * secondsPerMs;
		const detectionTimesMs: number[] = [];
		for (let index = 0; index < killCount; index++) {
			detectionTimesMs.push(...await measureDetection(fleet, index));
		}

		return {
			hosts: count,
			perRegion: hostsPerZone * 2,
			bytesPerSecond: Math.round((after.bytes - before.bytes) / count / seconds),
			messagesPerSecond: Math.round(((after.messages - before.messages) / count / seconds) * 10) / 10,
			corePercent: Math.round(((after.cpuMs - before.cpuMs) / count / sampleMs) * 10_000) / 100,
			rssMb: Math.round(after.rssMb / count),
			detectionMs: percentiles(detectionTimesMs),
		};
	} finally {
		await fleet.close();
	}
}

async function readUsage(fleet: Fleet): Promise<{bytes: number; messages: number; cpuMs: number; rssMb: number}> {
	const texts = await Promise.all(fleet.hosts.map(async host => fleet.metrics(host.id)));
	const processes = fleet.hosts.map(host => processUsage(fleet.daemon(host.id).pid));
	const sum = (name: string) => texts.reduce((total, text) => total + readMetric(text, name), 0);
	return {
		bytes: sum('gossip_sent_bytes') + sum('gossip_received_bytes'),
		messages: sum('gossip_sent_messages') + sum('gossip_received_messages'),
		cpuMs: processes.reduce((total, item) => total + item.cpuMs, 0),
		rssMb: processes.reduce((total, item) => total + item.rssMb, 0),
	};
}

/** Kills one idle host and returns, for each other host of its region, the time in milliseconds until that host no longer listed it as alive. */
async function measureDetection(fleet: Fleet, index: number): Promise<number[]> {
	const killed = fleet.hosts.filter(host => fleet.daemon(host.id).isRunning)[index]!;
	const others = fleet.hosts.filter(host => host.region === killed.region && host.id !== killed.id && fleet.daemon(host.id).isRunning);
	const startMs = performance.now();
	await fleet.daemon(killed.id).kill();
	return Promise.all(others.map(async host => {
		for (;;) {
			const res = await request(`http://${host.operators}/v1/members`);
			const {updates} = await res.body.json() as {updates: Array<{member: {id: string}; status: string}>};
			if (!updates.some(update => update.member.id === killed.id && update.status === 'alive')) {
				return performance.now() - startMs;
			}

			await delay(pollMs);
		}
	}));
}

/** Runs the same membership code in virtual time: 20 pairs of simulated regions of 12 hosts, each for one minute, one of a pair with 30% message loss and the other with a pause of one host for 5 s. */
function simulateFaults(): Record<string, number> {
	const totals = {
		falseDeathsUnderLoss: 0, falseSuspicionsUnderLoss: 0, falseDeathsByPause: 0, hostMinutes: 0,
	};
	const simulationCount = 20;
	for (let seed = 0; seed < simulationCount; seed++) {
		const lossy = new SimulatedNetwork({regions: {dsm: 12}, seed});
		lossy.run(15_000);
		lossy.setLoss(0.3);
		const observed = countSuspectAndDead(lossy, 60);
		totals.falseDeathsUnderLoss += observed.dead;
		totals.falseSuspicionsUnderLoss += observed.suspect;
		const pausing = new SimulatedNetwork({regions: {dsm: 12}, seed: seed + 1000});
		pausing.run(15_000);
		pausing.freeze(3);
		pausing.run(5000);
		pausing.unfreeze(3);
		totals.falseDeathsByPause += countSuspectAndDead(pausing, 55).dead;
		totals.hostMinutes += 12;
	}

	return totals;
}

/** Counts the incarnations of hosts that at least one host listed as suspect or as dead. */
function countSuspectAndDead(network: SimulatedNetwork, seconds: number): {dead: number; suspect: number} {
	const dead = new Set<string>();
	const suspect = new Set<string>();
	for (let second = 0; second < seconds; second++) {
		network.run(1000);
		for (const update of network.nodes.flatMap(node => node.membership.updates())) {
			const incarnationKey = `${update.member.id}:${update.incarnation}`;
			if (update.status !== 'alive') {
				(update.status === 'dead' ? dead : suspect).add(incarnationKey);
			}
		}
	}

	return {dead: dead.size, suspect: suspect.size};
}

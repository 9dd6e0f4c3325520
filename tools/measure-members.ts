import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {FakeRegion} from '../stand-ins/fake-region.js';
import {Fleet} from './fleet.js';
import {percentiles} from './percentiles.js';
import {processUsage} from './process-usage.js';
import {startFleet} from './start-fleet.js';
import {readMetric} from './read-metric.js';
import {slope} from './slope.js';

const settleMs = 6000;
const sampleMs = 15_000;
const kills = 3;
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

/** Cost of membership for a host against the number of hosts, detection time, and false suspicions under loss and pauses. */
export async function measureMembers(): Promise<Record<string, unknown>> {
	const sizes: Size[] = [];
	for (const hostsPerZone of [1, 3, 8, 14]) {
		sizes.push(await measureSize(hostsPerZone));
	}

	const line = (pick: (size: Size) => number) => slope(sizes.map(size => ({x: size.perRegion, y: pick(size)})));
	return {
		sizes,
		perHostOfTheRegion: {
			bytesPerSecond: line(size => size.bytesPerSecond), corePercent: line(size => size.corePercent), rssMb: line(size => size.rssMb),
		},
		virtualTime: virtualFaults(),
	};
}

async function measureSize(hostsPerZone: number): Promise<Size> {
	const fleet = new Fleet({
		deployment: 'mvule', hostsPerZone, meanMs: 5, seed: 1,
	});
	try {
		await startFleet(fleet);
		await delay(settleMs);
		const before = await usage(fleet);
		await delay(sampleMs);
		const after = await usage(fleet);
		const count = fleet.hosts.length;
		const seconds = sampleMs * secondsPerMs;
		const detection: number[] = [];
		for (let index = 0; index < kills; index++) {
			detection.push(...await detect(fleet, index));
		}

		return {
			hosts: count,
			perRegion: hostsPerZone * 2,
			bytesPerSecond: Math.round((after.bytes - before.bytes) / count / seconds),
			messagesPerSecond: Math.round(((after.messages - before.messages) / count / seconds) * 10) / 10,
			corePercent: Math.round(((after.cpuMs - before.cpuMs) / count / sampleMs) * 10_000) / 100,
			rssMb: Math.round(after.rssMb / count),
			detectionMs: percentiles(detection),
		};
	} finally {
		await fleet.close();
	}
}

async function usage(fleet: Fleet): Promise<{bytes: number; messages: number; cpuMs: number; rssMb: number}> {
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

/** Kills one host without load on it and answers, for each other host of its region, the time until it was no longer a candidate. */
async function detect(fleet: Fleet, index: number): Promise<number[]> {
	const victim = fleet.hosts.filter(host => fleet.daemon(host.id).isRunning)[index]!;
	const others = fleet.hosts.filter(host => host.region === victim.region && host.id !== victim.id && fleet.daemon(host.id).isRunning);
	const startMs = performance.now();
	await fleet.daemon(victim.id).kill();
	return Promise.all(others.map(async host => {
		for (;;) {
			const res = await request(`http://${host.operators}/v1/members`);
			const {updates} = await res.body.json() as {updates: Array<{member: {id: string}; status: string}>};
			if (!updates.some(update => update.member.id === victim.id && update.status === 'alive')) {
				return performance.now() - startMs;
			}

			await delay(pollMs);
		}
	}));
}

/** The same decision code in virtual time: 20 regions of 12 hosts, a minute each of 30% loss and of a pause of 5 s. */
function virtualFaults(): Record<string, number> {
	const seen = {
		falseDeathsUnderLoss: 0, falseSuspicionsUnderLoss: 0, falseDeathsByPause: 0, hostMinutes: 0,
	};
	const runs = 20;
	for (let seed = 0; seed < runs; seed++) {
		const lossy = new FakeRegion({regions: {dsm: 12}, seed});
		lossy.run(15_000);
		lossy.setLoss(0.3);
		const counted = observe(lossy, 60);
		seen.falseDeathsUnderLoss += counted.dead;
		seen.falseSuspicionsUnderLoss += counted.suspect;
		const pausing = new FakeRegion({regions: {dsm: 12}, seed: seed + 1000});
		pausing.run(15_000);
		pausing.freeze(3);
		pausing.run(5000);
		pausing.wake(3);
		seen.falseDeathsByPause += observe(pausing, 55).dead;
		seen.hostMinutes += 12;
	}

	return seen;
}

/** Counts the hosts, by incarnation, that some other host thought suspect or dead. */
function observe(region: FakeRegion, seconds: number): {dead: number; suspect: number} {
	const dead = new Set<string>();
	const suspect = new Set<string>();
	for (let second = 0; second < seconds; second++) {
		region.run(1000);
		for (const update of region.nodes.flatMap(node => node.membership.updates())) {
			const name = `${update.member.id}:${update.incarnation}`;
			if (update.status !== 'alive') {
				(update.status === 'dead' ? dead : suspect).add(name);
			}
		}
	}

	return {dead: dead.size, suspect: suspect.size};
}

import {setTimeout as delay} from 'node:timers/promises';
import {ConsulStore} from '../src/adapters/consul-store.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {Publisher} from '../src/publisher.js';
import {Fleet} from './fleet.js';
import {percentiles} from './percentiles.js';
import {startFleet} from './start-fleet.js';
import {readMetric} from './read-metric.js';

const publicationCount = 30;
const pauseMs = 300;
const pollMs = 5;
const idleMs = 10_000;

/** Measures the time from the start of a publication until it is in force at each host, and the hosts' store calls. */
export async function measureConfig(): Promise<Record<string, unknown>> {
	const sizes = [];
	for (const hostsPerZone of [1, 3, 6]) {
		sizes.push(await measureSize(hostsPerZone));
	}

	return {sizes};
}

async function measureSize(hostsPerZone: number): Promise<Record<string, unknown>> {
	const fleet = new Fleet({
		deployment: 'mvule', hostsPerZone, meanMs: 5, seed: 1,
	});
	try {
		await startFleet(fleet);
		await delay(3000);
		const store = new ConsulStore({
			address: fleet.storeAddress, prefix: 'cowslipspar/', timeoutMs: 3000, clock: monotonicClock, onCall() {/* Only the hosts' calls are counted, by their metrics. */},
		});
		const publisher = new Publisher(store, 'measure');
		const perHostMs: number[] = [];
		const allHostsMs: number[] = [];
		const before = await readTotals(fleet);
		for (let index = 0; index < publicationCount; index++) {
			const times = await publishOnce(fleet, publisher, index);
			perHostMs.push(...times);
			allHostsMs.push(Math.max(...times));
			await delay(pauseMs);
		}

		const after = await readTotals(fleet);
		await delay(idleMs);
		const idle = await readTotals(fleet);
		store.close();
		return {
			hosts: fleet.hosts.length,
			publications: publicationCount,
			inForceMs: percentiles(perHostMs),
			everywhereMs: percentiles(allHostsMs),
			storeCallsPerPublication: (after.storeCalls - before.storeCalls) / publicationCount,
			pullsPerPublication: (after.pulls - before.pulls) / publicationCount,
			idleStoreCallsPerSecond: ((idle.storeCalls - after.storeCalls) * 1000) / idleMs,
		};
	} finally {
		await fleet.close();
	}
}

async function readTotals(fleet: Fleet): Promise<{storeCalls: number; pulls: number}> {
	const texts = await Promise.all(fleet.hosts.map(async host => fleet.metrics(host.id)));
	return {
		storeCalls: texts.reduce((sum, text) => sum + readMetric(text, 'store_calls'), 0),
		pulls: texts.reduce((sum, text) => sum + readMetric(text, 'config_pulls'), 0),
	};
}

/** Publishes a changed service and returns, for each host, the time in milliseconds until the change was in force there. */
async function publishOnce(fleet: Fleet, publisher: Publisher, index: number): Promise<number[]> {
	const head = await publisher.head();
	if (!head.success) {
		throw new Error(head.error.message);
	}

	const {services} = fleet.publication;
	const rostrum = services.rostrum!;
	const classes = rostrum.classes.map((item, position) => (position === 0 ? {...item, targetMs: 100 + index + 1} : item));
	const startMs = performance.now();
	const published = await publisher.publish({...fleet.publication, services: {...services, rostrum: {...rostrum, classes}}}, head.data);
	if (!published.success) {
		throw new Error(published.error.message);
	}

	const {revision} = published.data.manifest;
	return Promise.all(fleet.hosts.map(async host => {
		for (;;) {
			const status = await fleet.status(host.id);
			if ((status?.revision ?? 0) >= revision) {
				return performance.now() - startMs;
			}

			await delay(pollMs);
		}
	}));
}

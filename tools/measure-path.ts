import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {HttpUpstream} from '../src/adapters/http-upstream.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {Caller} from '../src/caller.js';
import {Fleet} from './fleet.js';
import {percentiles} from './percentiles.js';
import {processUsage} from './process-usage.js';
import {startFleet} from './start-fleet.js';

const warmUpRequests = 3000;
const sampleCount = 1500;
const parallelWarmUp = 16;
const throughputMs = 5000;
const parallelCallers = 64;
const lookupsPerSecond = 1000;
const lookupMs = 6000;

type Send = () => Promise<number>;

/** Measures the cost of a request through a host: the latency added to a direct call, the requests per second of processor time, and the processor time of lookups. */
export async function measurePath(): Promise<Record<string, unknown>> {
	const fleet = new Fleet({
		deployment: 'mvule', hostsPerZone: 1, meanMs: 0, seed: 1,
	});
	try {
		await startFleet(fleet);
		const host = fleet.hosts[0]!;
		const caller = new Caller({hosts: [host.callers]});
		const through = hostSender(caller, 'catalogue', 'lots', true);
		const keyed = hostSender(caller, 'rostrum', 'bid', false);
		const direct = directSender(fleet);
		await warmUp([through, keyed, direct]);
		const latencies = {direct: [] as number[], through: [] as number[], keyed: [] as number[]};
		for (let index = 0; index < sampleCount; index++) {
			latencies.direct.push(await direct());
			latencies.through.push(await through());
			latencies.keyed.push(await keyed());
		}

		const requestRates = await throughput(fleet, through);
		const lookups = await lookupCost(fleet, host.callers);
		caller.close();
		const [directMs, throughMs, keyedMs] = [percentiles(latencies.direct), percentiles(latencies.through), percentiles(latencies.keyed)];
		return {
			directMs,
			throughMs,
			keyedMs,
			addedP50Ms: throughMs.p50 - directMs.p50,
			addedP99Ms: throughMs.p99 - directMs.p99,
			keyedAddedP50Ms: keyedMs.p50 - directMs.p50,
			...requestRates,
			...lookups,
		};
	} finally {
		await fleet.close();
	}
}

function hostSender(caller: Caller, service: string, className: string, isRepeatable: boolean): Send {
	return async () => {
		const startMs = performance.now();
		const outcome = await caller.send({
			service, className, isRepeatable, path: '/x?ms=0', body: Buffer.from('x'), deadlineMs: 1400,
		});
		if (outcome.kind !== 'whole') {
			throw new Error(`${service}/${className}: ${outcome.kind}: ${outcome.reason}: ${outcome.detail}`);
		}

		return performance.now() - startMs;
	};
}

function directSender(fleet: Fleet): Send {
	const upstream = new HttpUpstream({clock: monotonicClock, maxAnswerBytes: 1_000_000, maxConnections: 100});
	const {address} = (fleet.publication.services.catalogue!.places[0]!.instances[0]!);
	return async () => {
		const startMs = performance.now();
		const head = {
			requestId: 'direct', service: 'catalogue', className: 'lots', method: 'POST', path: '/x?ms=0', remainingMs: 1000, headers: {}, region: 'dsm', caller: '', fingerprint: '',
		};
		const result = await upstream.call({
			address, head, body: Buffer.from('x'), isRepeatable: true, remainingMs: 1000, shedMeansNotRun: true, signal: new AbortController().signal,
		});
		if (result.outcome.kind === 'unknown') {
			throw new Error(`direct call failed: ${result.outcome.detail}`);
		}

		return performance.now() - startMs;
	};
}

async function warmUp(sends: readonly Send[]): Promise<void> {
	for (const send of sends) {
		const count = warmUpRequests / parallelWarmUp;
		await Promise.all(Array.from({length: parallelWarmUp}, async (_, senderIndex) => {
			// The direct call has no queue in front of the instance's slots, so its warm-up sends one request at a time.
			for (let index = 0; index < (send === sends.at(-1) && senderIndex > 0 ? 0 : count); index++) {
				await send();
			}
		}));
	}
}

async function throughput(fleet: Fleet, send: Send): Promise<Record<string, number>> {
	const before = totalCpuMs(fleet);
	const startMs = performance.now();
	let completed = 0;
	await Promise.all(Array.from({length: parallelCallers}, async () => {
		while (performance.now() - startMs < throughputMs) {
			await send();
			completed++;
		}
	}));
	const cpuMs = totalCpuMs(fleet) - before;
	return {requestsPerSecond: Math.round((completed * 1000) / (performance.now() - startMs)), requestsPerCoreSecond: Math.round((completed * 1000) / cpuMs)};
}

async function lookupCost(fleet: Fleet, address: string): Promise<Record<string, number>> {
	const idleBefore = processUsage(fleet.daemon(fleet.hosts[0]!.id).pid).cpuMs;
	await delay(lookupMs);
	const before = processUsage(fleet.daemon(fleet.hosts[0]!.id).pid).cpuMs;
	const idleMs = before - idleBefore;
	const caller = new Caller({hosts: [address]});
	const startMs = performance.now();
	let completed = 0;
	const parallelLookups = 8;
	await Promise.all(Array.from({length: parallelLookups}, async () => {
		for (let index = 0; performance.now() - startMs < lookupMs; index++) {
			caller.forget();
			const found = await caller.lookup('catalogue');
			completed += found.success ? 1 : 0;
			const dueMs = startMs + ((index * parallelLookups * 1000) / lookupsPerSecond);
			const waitMs = dueMs - performance.now();
			if (waitMs > 0) {
				await delay(waitMs);
			}
		}
	}));
	const elapsedMs = performance.now() - startMs;
	const cpuMs = processUsage(fleet.daemon(fleet.hosts[0]!.id).pid).cpuMs - before;
	caller.close();
	const netMs = Math.max(0, cpuMs - ((idleMs * elapsedMs) / lookupMs));
	return {
		idleCorePercent: Math.round((idleMs / lookupMs) * 10_000) / 100,
		lookupsPerSecond: Math.round((completed * 1000) / elapsedMs),
		lookupCorePercentPerThousand: Math.round(((netMs / elapsedMs) * 100 * 1_000_000) / ((completed * 1000) / elapsedMs)) / 1000,
	};
}

function totalCpuMs(fleet: Fleet): number {
	return fleet.hosts.reduce((sum, host) => sum + processUsage(fleet.daemon(host.id).pid).cpuMs, 0);
}

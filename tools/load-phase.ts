import {setTimeout as delay} from 'node:timers/promises';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {type Fleet} from './fleet.js';
import {runLoad} from './load.js';
import {percentiles} from './percentiles.js';

type Stream = Parameters<typeof runLoad>[0]['streams'][number];

type ClassResult = {
	readonly name: string;
	readonly sent: number;
	readonly whole: number;
	/** Share of the requests that received a complete response before their deadline. */
	readonly inTime: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly goodputPerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Number of requests without a complete response, by reason. */
	readonly reasons: Readonly<Record<string, number>>;
};

type PhaseResult = {
	readonly phase: string;
	readonly classes: readonly ClassResult[];
	/** Utilization of the slots: the busy share of their time. */
	readonly slotsBusy: number;
	/** Largest number of requests in flight at one instance since the instance was created, earlier phases included. */
	readonly peakInFlight: number;
};

type FinishedRequest = Parameters<Parameters<typeof runLoad>[0]['onFinished']>[0] & {readonly atMs: number};

type PhaseOptions = {
	readonly fleet: Fleet;
	readonly phase: string;
	readonly streams: readonly Stream[];
	readonly durationMs: number;
	readonly seed: number;
	/** Service whose slot utilization is measured. */
	readonly service: string;
	readonly onFinished?: (finished: FinishedRequest) => void;
};

/** Runs one phase of a load and returns its results by class, with the slot utilization of one service. */
export async function loadPhase(options: PhaseOptions): Promise<PhaseResult> {
	const {fleet, phase, streams, durationMs, seed, service} = options;
	const finished: FinishedRequest[] = [];
	const usageAtStart = await readSlotUsage(fleet, service);
	const startMs = performance.now();
	let usageAtEnd = {busy: 0, peak: 0};
	const loading = runLoad({
		streams,
		callers: [],
		durationMs,
		random: new SeededRandom(seed),
		onFinished(item) {
			const entry = {...item, atMs: performance.now() - startMs};
			finished.push(entry);
			options.onFinished?.(entry);
		},
	});
	await delay(durationMs);
	usageAtEnd = await readSlotUsage(fleet, service);
	const elapsedMs = performance.now() - startMs;
	await loading;
	const slots = fleet.publication.services[service]!.places.reduce((sum, place) => sum + (place.slots * place.instances.length), 0);
	return {
		phase,
		classes: streams.map(stream => summarise(stream, finished.filter(item => item.stream === stream), durationMs)),
		slotsBusy: Math.round(((usageAtEnd.busy - usageAtStart.busy) / (slots * elapsedMs)) * 1000) / 1000,
		peakInFlight: usageAtEnd.peak,
	};
}

async function readSlotUsage(fleet: Fleet, service: string): Promise<{busy: number; peak: number}> {
	const instances = await fleet.controlUpstreams('/counts');
	const own = instances.filter(item => String(item.id).startsWith(`${service}-`));
	return {busy: own.reduce((sum, item) => sum + Number(item.busyMs), 0), peak: Math.max(...own.map(item => Number(item.peakInFlight)))};
}

function summarise(stream: Stream, items: readonly FinishedRequest[], durationMs: number): ClassResult {
	const whole = items.filter(item => item.outcome.kind === 'whole');
	const inTime = whole.filter(item => item.latencyMs <= stream.deadlineMs);
	const reasons: Record<string, number> = {};
	for (const {outcome} of items) {
		if (outcome.kind !== 'whole') {
			reasons[outcome.reason] = (reasons[outcome.reason] ?? 0) + 1;
		}
	}

	const {p50, p99} = percentiles(whole.map(item => item.latencyMs));
	return {
		name: `${stream.service}/${stream.className}`,
		sent: items.length,
		whole: whole.length,
		inTime: Math.round((inTime.length / Math.max(1, items.length)) * 10_000) / 10_000,
		notRun: items.filter(item => item.outcome.kind === 'not-run').length,
		unknown: items.filter(item => item.outcome.kind === 'unknown').length,
		goodputPerSecond: Math.round((inTime.length * 10_000) / durationMs) / 10,
		p50Ms: p50,
		p99Ms: p99,
		reasons,
	};
}

import {percentiles} from '../percentiles.js';
import {type ModelClients} from './model-clients.js';
import {type Scenario} from './scenario.js';

type Outcome = Parameters<ConstructorParameters<typeof ModelClients>[0]['onOutcome']>[0];
type InstanceRuns = {readonly service: string; readonly region: string; readonly runs: number};

/** What callers of one kind in one region got; shares of the requests, times in milliseconds. */
type Row = {
	readonly kind: string;
	readonly region: string;
	readonly sent: number;
	readonly inAim: number;
	readonly late: number;
	readonly refused: number;
	readonly failed: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Share of the requests that ran at an instance that was not warm for their object. */
	readonly cold: number;
};

/** Window in which the regions of the runs are compared with those of the window before. */
const shiftWindowMs = 2000;
const msPerSecond = 1000;

/** Summarizes what callers got in one play of a scenario: by kind and region, by second, and how far the regions of the runs changed. */
export function summarize({name, regions, kinds, seconds}: Scenario, outcomes: readonly Outcome[], instances: readonly InstanceRuns[]) {
	const rows = [
		...kinds.flatMap(kind => regions.map(region => toRow(kind.name, region.name, outcomes.filter(outcome => outcome.kind === kind && outcome.entry === region.name)))),
		...regions.map(region => toRow('all', region.name, outcomes.filter(outcome => outcome.entry === region.name))),
		toRow('all', 'all', outcomes),
	];
	const bySecond = Array.from({length: Math.ceil(seconds)}, (_, second) => {
		const within = outcomes.filter(({startMs}) => Math.floor(startMs / msPerSecond) === second);
		return {second, ...Object.fromEntries((['in_aim', 'late', 'refused', 'failed'] as const).map(result => [result, within.filter(outcome => outcome.result === result).length]))};
	});
	return {
		scenario: name,
		rows,
		bySecond,
		maxShift: Object.fromEntries(regions.map(region => [region.name, maxShift(outcomes.filter(outcome => outcome.entry === region.name))])),
		busiest: Object.fromEntries([...new Set(instances.map(({service}) => service))].map(service => [service, busiestShare(instances.filter(instance => instance.service === service))])),
	};
}

function toRow(kind: string, region: string, outcomes: readonly Outcome[]): Row {
	const shareOf = (count: number) => round(count / Math.max(1, outcomes.length));
	const countOf = (result: Outcome['result']) => outcomes.filter(outcome => outcome.result === result).length;
	const {p50, p99} = percentiles(outcomes.filter(({result}) => result === 'in_aim' || result === 'late').map(({latencyMs}) => latencyMs));
	return {
		kind,
		region,
		sent: outcomes.length,
		inAim: shareOf(countOf('in_aim')),
		late: shareOf(countOf('late')),
		refused: shareOf(countOf('refused')),
		failed: shareOf(countOf('failed')),
		p50Ms: Math.round(p50),
		p99Ms: Math.round(p99),
		cold: shareOf(outcomes.filter(({ran}) => ran?.isWarm === false).length),
	};
}

/** Returns the largest share of a region's requests that changed the region of their run from one window to the next. */
function maxShift(outcomes: readonly Outcome[]): number {
	const ran = outcomes.filter(outcome => outcome.ran !== undefined);
	const lastMs = Math.max(0, ...ran.map(({startMs}) => startMs));
	const mixes = Array.from({length: Math.floor(lastMs / shiftWindowMs)}, (_, index) => {
		const within = ran.filter(({startMs}) => Math.floor(startMs / shiftWindowMs) === index);
		const mix = new Map<string, number>();
		for (const outcome of within) {
			mix.set(outcome.ran!.region, (mix.get(outcome.ran!.region) ?? 0) + (1 / within.length));
		}

		return mix;
	});
	const changes = mixes.slice(1).map((mix, index) => {
		const before = mixes[index]!;
		const names = new Set([...mix.keys(), ...before.keys()]);
		return [...names].reduce((sum, region) => sum + Math.max(0, (mix.get(region) ?? 0) - (before.get(region) ?? 0)), 0);
	});
	return round(Math.max(0, ...changes));
}

/** Returns how many times the mean of a service's instances the busiest one ran. */
function busiestShare(instances: readonly InstanceRuns[]): number {
	const total = instances.reduce((sum, {runs}) => sum + runs, 0);
	return round(Math.max(...instances.map(({runs}) => runs)) * instances.length / Math.max(1, total));
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

import {type RegionLoad} from '../contracts/region-load.js';

/** Another region's load, as far as it concerns this one. */
type HeardLoad = {
	/** Slots offered to this region, by pool. */
	readonly offers: ReadonlyMap<string, number>;
	/** Slots that the region's requests keep busy anywhere, by instance. */
	readonly uses: ReadonlyMap<string, number>;
	/** Busy share of the region, by pool. */
	readonly busy: ReadonlyMap<string, number>;
	/** Instances for the most urgent requests only. */
	readonly reserved: ReadonlySet<string>;
	readonly heardMs: number;
};

/** Time for which what a region told holds, in milliseconds. */
const loadValidMs = 4000;

/** What the planners of the other regions told; a region that fell silent offers nothing. */
export class RegionLoads {
	readonly #region: string;
	readonly #loads = new Map<string, HeardLoad>();

	/** `region` is the region that listens. */
	constructor(region: string) {
		this.#region = region;
	}

	/** Takes in what a region tells. */
	hear(load: RegionLoad, nowMs: number): void {
		this.#loads.set(load.region, {
			offers: new Map(load.offers.filter(([, region]) => region === this.#region).map(([pool, , slots]) => [pool, slots])),
			uses: new Map(load.uses),
			busy: new Map(load.pools.map(([pool, slots, busy]) => [pool, slots > 0 ? busy / slots : Math.min(1, busy)])),
			reserved: new Set(load.reserved),
			heardMs: nowMs,
		});
	}

	/** Slots that the other regions' requests keep busy at an instance. */
	usesOf(instanceId: string, nowMs: number): number {
		return this.#valid(nowMs).reduce((sum, [, heard]) => sum + (heard.uses.get(instanceId) ?? 0), 0);
	}

	/** Slots that a region offers for a pool. */
	offerOf(region: string, pool: string, nowMs: number): number {
		const heard = this.#loads.get(region);
		return heard !== undefined && isValid(heard, nowMs) ? heard.offers.get(pool) ?? 0 : 0;
	}

	/** Whether a region keeps one of its instances for its most urgent requests, as last heard. */
	isReserved(instance: {readonly id: string; readonly region: string}): boolean {
		return this.#loads.get(instance.region)?.reserved.has(instance.id) === true;
	}

	/** Divides spare slots among the regions that are busier than this one, by how much busier they are. */
	divide(pool: string, spare: number, ownBusyShare: number, nowMs: number): Array<[region: string, slots: number]> {
		const needs = this.#valid(nowMs)
			.map(([region, heard]): [string, number] => [region, (heard.busy.get(pool) ?? 0) - ownBusyShare])
			.filter(([, need]) => need > 0);
		const total = needs.reduce((sum, [, need]) => sum + need, 0);
		return needs.map(([region, need]) => [region, spare * need / total]);
	}

	#valid(nowMs: number): Array<[string, HeardLoad]> {
		return [...this.#loads].filter(([, heard]) => isValid(heard, nowMs));
	}
}

function isValid(heard: HeardLoad, nowMs: number): boolean {
	return nowMs - heard.heardMs < loadValidMs;
}

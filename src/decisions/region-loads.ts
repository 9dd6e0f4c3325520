import {type RegionLoad} from '../contracts/region-load.js';

/** Latest load of another region, reduced to what concerns this region. */
type ReceivedLoad = {
	/** Slots offered to this region, by pool. */
	readonly offers: ReadonlyMap<string, number>;
	/** Slots that the region's requests keep busy in any region, by instance. */
	readonly uses: ReadonlyMap<string, number>;
	/** Busy share of the region's slots, by pool. */
	readonly slotUtilizations: ReadonlyMap<string, number>;
	/** Ids of the instances that serve only the most urgent requests. */
	readonly reserved: ReadonlySet<string>;
	readonly receivedMs: number;
};

/** Time for which a received load is valid. */
const loadValidMs = 4000;

/** Loads that the planners of the other regions reported. A region that no longer reports offers nothing. */
export class RegionLoads {
	readonly #region: string;
	readonly #loads = new Map<string, ReceivedLoad>();

	/** `region` is the region that receives the loads. */
	constructor(region: string) {
		this.#region = region;
	}

	/** Applies the load that a region reported. */
	apply(load: RegionLoad, nowMs: number): void {
		this.#loads.set(load.region, {
			offers: new Map(load.offers.filter(([, region]) => region === this.#region).map(([pool, , slots]) => [pool, slots])),
			uses: new Map(load.uses),
			slotUtilizations: new Map(load.pools.map(([pool, slots, busySlots]) => [pool, slots > 0 ? busySlots / slots : Math.min(1, busySlots)])),
			reserved: new Set(load.reserved),
			receivedMs: nowMs,
		});
	}

	/** Returns the slots that the other regions' requests keep busy at an instance. */
	usedSlots(instanceId: string, nowMs: number): number {
		return this.#valid(nowMs).reduce((sum, [, received]) => sum + (received.uses.get(instanceId) ?? 0), 0);
	}

	/** Returns the slots that a region offers to this region for a pool. */
	offeredSlots(region: string, pool: string, nowMs: number): number {
		const received = this.#loads.get(region);
		return received !== undefined && isValid(received, nowMs) ? received.offers.get(pool) ?? 0 : 0;
	}

	/** Returns whether a region reserved one of its instances for its most urgent requests, by the latest received load, however old. */
	isReserved(instance: {readonly id: string; readonly region: string}): boolean {
		return this.#loads.get(instance.region)?.reserved.has(instance.id) === true;
	}

	/** Divides spare slots among the regions that are busier than this one, in proportion to the difference in utilization. */
	divideSpareSlots(pool: string, spareSlots: number, localUtilization: number, nowMs: number): Array<[region: string, slots: number]> {
		const needs = this.#valid(nowMs)
			.map(([region, received]): [string, number] => [region, (received.slotUtilizations.get(pool) ?? 0) - localUtilization])
			.filter(([, need]) => need > 0);
		const totalNeed = needs.reduce((sum, [, need]) => sum + need, 0);
		return needs.map(([region, need]) => [region, spareSlots * need / totalNeed]);
	}

	#valid(nowMs: number): Array<[string, ReceivedLoad]> {
		return [...this.#loads].filter(([, received]) => isValid(received, nowMs));
	}
}

function isValid(received: ReceivedLoad, nowMs: number): boolean {
	return nowMs - received.receivedMs < loadValidMs;
}

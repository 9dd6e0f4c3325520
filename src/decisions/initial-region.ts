import {hashText} from './hash-text.js';

/** Capacity of a region for one service: slots that accept requests, and entry hosts. Both are known before any load is. */
type RegionCapacity = {readonly region: string; readonly slots: number; readonly hosts: number};

/**
 * Load that a region keeps, as a multiple of its share of the slots, before objects start in other regions. The most urgent requests
 * come before the others there, so that more of them stay.
 */
const localLoadFactor = 1.3;
const urgentLocalLoadFactor = 2;
/** Number of values of a hash of 32 bits. */
const hashRange = 4_294_967_296;

/**
 * Returns the region in which the requests for an object run until loads are known. Hosts are placed where callers are, so the
 * share of hosts stands for the expected load: a region with many hosts and few slots assigns some of its objects to regions
 * with spare slots. The result is the same at every host and after a restart.
 */
export function initialRegion(objectKey: string, ownRegion: string, capacities: readonly RegionCapacity[], isMostUrgent: boolean): string {
	const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
	const hosts = capacities.reduce((sum, capacity) => sum + capacity.hosts, 0);
	const ownCapacity = capacities.find(capacity => capacity.region === ownRegion);
	if (slots === 0 || ownCapacity === undefined || ownCapacity.hosts === 0) {
		return ownRegion;
	}

	const spareShareOf = (capacity: RegionCapacity) => Math.max(0, (capacity.slots / slots) - (capacity.hosts / hosts));
	const others = capacities.filter(capacity => spareShareOf(capacity) > 0).toSorted((a, b) => (a.region < b.region ? -1 : 1));
	const localShare = (isMostUrgent ? urgentLocalLoadFactor : localLoadFactor) * (ownCapacity.slots / slots) / (ownCapacity.hosts / hosts);
	const position = hashText(`${objectKey}|region`) / hashRange;
	if (position < localShare || others.length === 0) {
		return ownRegion;
	}

	const totalSpareShare = others.reduce((sum, capacity) => sum + spareShareOf(capacity), 0);
	let remainingShare = (position - localShare) / (1 - localShare) * totalSpareShare;
	for (const capacity of others) {
		remainingShare -= spareShareOf(capacity);
		if (remainingShare < 0) {
			return capacity.region;
		}
	}

	return others.at(-1)!.region;
}

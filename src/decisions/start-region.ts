import {hashText} from './hash-text.js';

/** What is known of a region before any load is: slots of one service that take work, and entry hosts. */
type RegionSize = {readonly region: string; readonly slots: number; readonly hosts: number};

/** Work that a region takes, as a multiple of what its part of the slots is due, before objects start elsewhere. */
const ownWorkLimit = 1.3;
const hashRange = 4_294_967_296;

/**
 * The region in which the requests for an object run until loads are known. Hosts stand where callers are, so that a
 * region with many hosts and few slots leaves a part of its objects to the regions with slots to spare. Every host comes
 * to the same answer, and to the same one after a restart.
 */
export function startRegion(objectKey: string, own: string, sizes: readonly RegionSize[]): string {
	const slots = sizes.reduce((sum, size) => sum + size.slots, 0);
	const hosts = sizes.reduce((sum, size) => sum + size.hosts, 0);
	const here = sizes.find(size => size.region === own);
	if (slots === 0 || here === undefined || here.hosts === 0) {
		return own;
	}

	const spareOf = (size: RegionSize) => Math.max(0, (size.slots / slots) - (size.hosts / hosts));
	const others = sizes.filter(size => spareOf(size) > 0).toSorted((a, b) => (a.region < b.region ? -1 : 1));
	const keptPart = ownWorkLimit * (here.slots / slots) / (here.hosts / hosts);
	const place = hashText(`${objectKey}|region`) / hashRange;
	if (place < keptPart || others.length === 0) {
		return own;
	}

	const spare = others.reduce((sum, size) => sum + spareOf(size), 0);
	let left = (place - keptPart) / (1 - keptPart) * spare;
	for (const size of others) {
		left -= spareOf(size);
		if (left < 0) {
			return size.region;
		}
	}

	return others.at(-1)!.region;
}

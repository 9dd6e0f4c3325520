import {type HostSize} from '../contracts/host-size.js';

type SizedHost = {
	/** `undefined` for a host of an earlier release, or whose entry has not been read. */
	readonly size: HostSize | undefined;
	/** From 0 for a host with room. */
	readonly busyLevel: number;
};

type HostCapacity = {
	/** The smaller of the host's shares of the region's processor time and bandwidth. */
	readonly share: number;
	/** The share, reduced by how busy the host is. */
	readonly capacity: number;
};

/**
 * Part of a host's capacity that is left at each busy level; the last one holds for higher levels, too. No level takes a host out
 * of the directory, since a region whose hosts are all busy still needs all of them.
 */
const capacityLeft: readonly number[] = [1, 0.75, 0.5, 0.25];

/** Returns the capacities of a region's hosts, for up to 300 hosts. A host of unknown size counts as the mean of the others. */
export function hostCapacities(hosts: readonly SizedHost[]): HostCapacity[] {
	const sizes = hosts.map(({size}) => size).filter(size => size !== undefined);
	const totalProcessor = sum(sizes.map(({processor}) => processor));
	const totalLinkMbps = sum(sizes.map(({linkMbps}) => linkMbps));
	const shareOf = ({processor, linkMbps}: HostSize) => Math.min(processor / totalProcessor, linkMbps / totalLinkMbps);
	const meanShare = sizes.length === 0 ? 1 : sum(sizes.map(size => shareOf(size))) / sizes.length;
	return hosts.map(({size, busyLevel}) => {
		const share = size === undefined ? meanShare : shareOf(size);
		return {share, capacity: share * capacityLeft[Math.min(busyLevel, capacityLeft.length - 1)]!};
	});
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

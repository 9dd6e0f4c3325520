import {rendezvousOrder} from './rendezvous-order.js';

type RegionView = {
	/** Address of this host. */
	readonly self: string;
	/** Addresses of the hosts that this host considers able to take requests, itself included. */
	readonly candidates: readonly string[];
	/** Addresses of all hosts that may be running, from the platform's list. */
	readonly listed: readonly string[];
};

/** Parts of the limit by the rank of the sender; together they are the whole limit. */
const shares: readonly number[] = [1 / 3, 1 / 4, 1 / 6, 1 / 12, 1 / 12, 1 / 12];

/**
 * Returns the part of a cold instance's limit that this host may use, from 0 to 1. Only the designated sender of the instance's
 * region has one: the first candidate in the order of all hosts that may be running. Hosts take over from each other at
 * different moments, and without contact to others each takes itself for the first. Hosts with the same list still have
 * distinct ranks in it, so that all of them together stay within the limit, whichever others each of them takes for gone.
 */
export function coldShare(instanceId: string, {self, candidates, listed}: RegionView): number {
	const order = rendezvousOrder(instanceId, [...new Set([...listed, ...candidates, self])], address => address);
	const running = new Set(candidates);
	const rank = order.findIndex(address => running.has(address));
	return order[rank] === self ? shares[rank] ?? 0 : 0;
}

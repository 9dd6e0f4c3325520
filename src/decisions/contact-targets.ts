import {type Member} from '../contracts/member.js';
import {memberKey} from './member-key.js';
import {rendezvousOrder} from './rendezvous-order.js';

type ContactTargets = {
	/** Members to which the watcher itself sends its contact. */
	readonly direct: readonly Member[];
	/** Members to which this process relays it. */
	readonly relayed: readonly Member[];
};

/** Smallest number of members to which a watcher sends directly. */
const minFanOut = 16;

/**
 * Returns who receives a watcher's contact to the store from whom, in two levels, so that neither a watcher nor a relay sends
 * to more than about the square root of the region. Each watcher has its own order, so that a relay that has failed separates
 * nobody from all watchers. `members` are those considered alive, the watcher included or not.
 */
export function contactTargets(watcherKey: string, selfKey: string, members: readonly Member[]): ContactTargets {
	const others = members.filter(member => memberKey(member) !== watcherKey);
	if (others.length <= minFanOut) {
		return {direct: others, relayed: []};
	}

	const fanOut = Math.max(minFanOut, Math.ceil(Math.sqrt(others.length)));
	const order = rendezvousOrder(`contact|${watcherKey}`, others, memberKey);
	const ownIndex = order.findIndex(member => memberKey(member) === selfKey);
	const isRelay = ownIndex !== -1 && ownIndex < fanOut;
	return {
		direct: order.slice(0, fanOut),
		relayed: isRelay ? order.filter((_, index) => index >= fanOut && index % fanOut === ownIndex) : [],
	};
}

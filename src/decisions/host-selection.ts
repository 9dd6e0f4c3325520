import {hashText} from './hash-text.js';

type SelectableHost = {
	/** Name that stays the same when the host's process restarts. */
	readonly id: string;
	/** Share of the region's capacity by the host's size. */
	readonly share: number;
	/** The share, reduced by how busy the host is. */
	readonly capacity: number;
};

/** Fewest hosts in an answer, if there are as many: a client that fails at one or two hosts still has another. */
const minHosts = 3;
/** Relative difference up to which sizes count as equal: means of equal numbers differ in their last digits. */
const equalTolerance = 1e-6;
const hashRange = 2 ** 32;

/** Answers of one size, with the probability of each host to be in them. */
type AnswerSize = {readonly size: number; readonly probabilities: readonly number[]};

/**
 * Selects the hosts that one client may use, so that over all clients each host is in a share of the answers that is proportional to
 * its capacity. The answers have as many hosts as this allows: the sum of the capacities divided by the largest one. If that is no
 * whole number, some clients get the next larger number; so a small change of the capacities changes the size of few clients' answers.
 * A client that picks one of its hosts at random connects to each with a probability proportional to the capacity, except that the
 * largest get some hundredths less where an answer of the larger size would need them more than once, and no host gets more than a third.
 *
 * The selection is Pareto sampling with permanent random numbers, which are hashes of client and host: any process returns the same
 * hosts for the same client, and if a capacity changes or a host comes or goes, few clients get other hosts.
 * Source: Rosén, "On sampling with probability proportional to size", Journal of Statistical Planning and Inference 62, 1997.
 *
 * It is meant for zones of up to 100 hosts whose capacities differ up to 30-fold, and for clients with at least some hundreds of
 * distinct names; with fewer, the shares are proportional to the capacities only on average over names.
 */
export class HostSelection<T extends SelectableHost> {
	/** Share of the answers that name each host, in the order of the hosts. */
	readonly shares: readonly number[];
	/** Mean number of hosts in an answer. */
	readonly meanSize: number;
	/** Whether answers leave out hosts by their capacity. */
	readonly isWeighted: boolean;
	readonly hosts: readonly T[];
	readonly #smaller: AnswerSize;
	readonly #larger: AnswerSize;

	/** With hosts of equal size, or no more than the minimum, an answer has the first `maxHosts` hosts. */
	constructor(hosts: readonly T[], maxHosts: number) {
		this.hosts = hosts;
		this.isWeighted = hosts.length > minHosts && !areEqual(hosts.map(({share}) => share));
		const capacities = hosts.map(({capacity}) => capacity);
		const largestSize = Math.min(hosts.length, maxHosts);
		const proportionalSize = capacities.reduce((sum, capacity) => sum + capacity, 0) / Math.max(...capacities);
		this.meanSize = this.isWeighted ? Math.min(largestSize, Math.max(minHosts, proportionalSize)) : largestSize;
		this.#smaller = answerSize(capacities, Math.floor(this.meanSize));
		this.#larger = answerSize(capacities, Math.ceil(this.meanSize));
		const largerPart = this.meanSize - this.#smaller.size;
		this.shares = hosts.map((_, index) => this.isWeighted
			? this.#smaller.probabilities[index]! + (largerPart * (this.#larger.probabilities[index]! - this.#smaller.probabilities[index]!))
			: Number(index < largestSize));
	}

	/** Returns the hosts for a client, in their order. */
	select(client: string): T[] {
		if (!this.isWeighted) {
			return this.hosts.slice(0, this.meanSize);
		}

		const {size, probabilities} = this.meanSize - this.#smaller.size > randomOf(client) ? this.#larger : this.#smaller;
		const ranked = this.hosts
			.map((host, index) => ({host, index, rank: rankOf(probabilities[index]!, randomOf(`${client}|${host.id}`))}))
			.toSorted((a, b) => a.rank - b.rank || a.index - b.index);
		return ranked.slice(0, size).toSorted((a, b) => a.index - b.index).map(({host}) => host);
	}
}

function areEqual(values: readonly number[]): boolean {
	return Math.max(...values) - Math.min(...values) <= equalTolerance * Math.max(...values);
}

/** Returns probabilities with the sum `size` that are proportional to the capacities, except that none exceeds 1. */
function answerSize(capacities: readonly number[], size: number): AnswerSize {
	let restSize = size;
	let restCapacity = capacities.reduce((sum, capacity) => sum + capacity, 0);
	for (const capacity of capacities.toSorted((a, b) => b - a)) {
		if (capacity * restSize <= restCapacity) {
			break;
		}

		restSize--;
		restCapacity -= capacity;
	}

	return {size, probabilities: capacities.map(capacity => Math.min(1, capacity * restSize / restCapacity))};
}

/** Returns the permanent random number of a name, between 0 and 1. */
function randomOf(name: string): number {
	return (hashText(name) + 0.5) / hashRange;
}

/** Returns the rank of a host among those of a client; the hosts with the lowest ranks are selected. */
function rankOf(probability: number, random: number): number {
	return probability >= 1 ? 0 : (random / (1 - random)) * ((1 - probability) / probability);
}

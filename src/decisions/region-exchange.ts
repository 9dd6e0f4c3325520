import {type GossipMessage} from '../contracts/gossip-message.js';
import {type Member} from '../contracts/member.js';
import {type RegionSummary} from '../contracts/region-summary.js';
import {RegionTable} from './region-table.js';
import {type SeededRandom} from './seeded-random.js';

type RegionMessage = GossipMessage & {kind: 'region'};

/** A message to another region, without what every datagram carries. */
type Outgoing = {
	readonly address: string;
	readonly fields: Pick<RegionMessage, 'kind' | 'step' | 'region' | 'ownVersion' | 'ownHash' | 'knownVersion' | 'knownHash' | 'summaries'>;
};

/** Other regions that a delegate speaks with in one period. */
const regionsPerPeriod = 2;
/** Hosts of a region that other regions are told of. */
const summaryHosts = 8;
/** A listed address is tried in place of a known host once in so many exchanges. */
const hintInterval = 4;

/** Exchange of summaries with other regions: hashes first, a summary only to a side that knows another one. */
export class RegionExchange {
	readonly #own: string;
	readonly #random: SeededRandom;
	readonly #hosts: () => readonly Member[];
	readonly #table: RegionTable;
	#hints: ReadonlyMap<string, readonly string[]> = new Map();
	#turn = 0;

	/** `hosts` answers the own region's hosts in the order in which they act for it. */
	constructor(own: string, random: SeededRandom, hosts: () => readonly Member[]) {
		this.#own = own;
		this.#random = random;
		this.#hosts = hosts;
		this.#table = new RegionTable(own);
	}

	/** Regions of which something is known. */
	names(): readonly string[] {
		return this.#table.names();
	}

	hostsOf(region: string): readonly Member[] {
		return this.#table.hostsOf(region);
	}

	/** Time since a region was last heard from, in milliseconds. */
	silenceOf(region: string, nowMs: number): number {
		return this.#table.silenceOf(region, nowMs);
	}

	/** Takes in addresses from the platform's list, by region. */
	setHints(hints: ReadonlyMap<string, readonly string[]>): void {
		this.#hints = new Map(hints);
	}

	/** Takes in a summary; answers whether it changed what is known. News is passed on `limit` times. */
	take(summary: RegionSummary, nowMs: number, limit: number): boolean {
		return this.#table.take(summary, nowMs, limit);
	}

	/** Changed summaries to pass on within the region. */
	takeNews(count: number): RegionSummary[] {
		return this.#table.takeNews(count);
	}

	/** Messages of one period: a few regions in turn. */
	nextMessages(): Outgoing[] {
		const regions = this.#reachable();
		const first = this.#turn;
		this.#turn += regionsPerPeriod;
		const count = Math.min(regionsPerPeriod, regions.length);
		const chosen = Array.from({length: count}, (_, index) => regions[(first + index) % regions.length]!);
		return chosen.flatMap(region => this.#ask(region));
	}

	/** Messages to every region at once. */
	allMessages(): Outgoing[] {
		return this.#reachable().flatMap(region => this.#ask(region));
	}

	/** Answers a region's message if there is something to say. */
	answer(message: RegionMessage, nowMs: number): Outgoing[] {
		this.#table.touch(message.region, nowMs);
		this.#table.noteVersion(message.knownVersion, message.knownHash);
		const isKnown = message.knownHash === this.#table.ownMark(this.#summaryHosts()).hash;
		const isDue = message.step === 0 || (message.step === 1 && !isKnown);
		return isDue ? [this.#compose(message.address, message.region, message.step + 1, !isKnown)] : [];
	}

	#reachable(): string[] {
		const regions = new Set([...this.#table.names(), ...this.#hints.keys()]);
		regions.delete(this.#own);
		return [...regions].toSorted();
	}

	#ask(region: string): Outgoing[] {
		const known = this.#table.hostsOf(region).map(member => member.peers);
		const isByKnown = known.length > 0 && this.#random.below(hintInterval) > 0;
		const candidates = isByKnown ? known : [...known, ...(this.#hints.get(region) ?? [])];
		const [address] = this.#random.sample(candidates, 1);
		return address === undefined ? [] : [this.#compose(address, region, 0, false)];
	}

	#compose(address: string, region: string, step: number, isTold: boolean): Outgoing {
		const own = this.#table.ownMark(this.#summaryHosts());
		const known = this.#table.knownOf(region);
		const fields: Outgoing['fields'] = {
			kind: 'region',
			step,
			region: this.#own,
			ownVersion: own.version,
			ownHash: own.hash,
			knownVersion: known.version,
			knownHash: known.hash,
			summaries: isTold ? [this.#table.own(this.#summaryHosts())] : [],
		};
		return {address, fields};
	}

	#summaryHosts(): readonly Member[] {
		return this.#hosts().slice(0, summaryHosts);
	}
}

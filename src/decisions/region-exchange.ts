import {type GossipMessage} from '../contracts/gossip-message.js';
import {type Member} from '../contracts/member.js';
import {type RegionSummary} from '../contracts/region-summary.js';
import {RegionTable} from './region-table.js';
import {type SeededRandom} from './seeded-random.js';

type RegionMessage = GossipMessage & {kind: 'region'};

/** A message to another region, without the fields common to all datagrams. */
type OutgoingMessage = {
	readonly address: string;
	readonly fields: Pick<RegionMessage, 'kind' | 'step' | 'region' | 'ownVersion' | 'ownHash' | 'knownVersion' | 'knownHash' | 'summaries'>;
};

/** Number of other regions that a delegate contacts in each period. */
const regionsPerPeriod = 2;
/** Largest number of hosts in a region's summary. */
const maxSummaryHosts = 8;
/** On average, one in this many exchanges may also select an address from the host list; the others use known hosts only. */
const listedAddressInterval = 4;

/** Exchanges region summaries with other regions: hashes are compared first, and a summary is sent only to a side that has a different one. */
export class RegionExchange {
	readonly #ownRegion: string;
	readonly #random: SeededRandom;
	readonly #delegateOrder: () => readonly Member[];
	readonly #table: RegionTable;
	#listedAddresses: ReadonlyMap<string, readonly string[]> = new Map();
	#nextRegionIndex = 0;

	/** `delegateOrder` returns the own region's hosts in the order in which they become its delegates. */
	constructor(ownRegion: string, random: SeededRandom, delegateOrder: () => readonly Member[]) {
		this.#ownRegion = ownRegion;
		this.#random = random;
		this.#delegateOrder = delegateOrder;
		this.#table = new RegionTable(ownRegion);
	}

	/** Returns the other regions whose summary is stored. */
	regions(): readonly string[] {
		return this.#table.regions();
	}

	hostsOf(region: string): readonly Member[] {
		return this.#table.hostsOf(region);
	}

	/** Returns the time since the last message from a region, in milliseconds. */
	msSinceContact(region: string, nowMs: number): number {
		return this.#table.msSinceContact(region, nowMs);
	}

	/** Sets the daemon addresses from the platform's host list, by region. */
	setListedAddresses(addresses: ReadonlyMap<string, readonly string[]>): void {
		this.#listedAddresses = new Map(addresses);
	}

	/** Applies a summary; returns whether the region's hosts changed. A changed summary is sent `sendLimit` times. */
	apply(summary: RegionSummary, nowMs: number, sendLimit: number): boolean {
		return this.#table.apply(summary, nowMs, sendLimit);
	}

	/** Returns up to `count` changed summaries to send to members of the own region. */
	takeUpdates(count: number): RegionSummary[] {
		return this.#table.takeUpdates(count);
	}

	/** Returns the messages of one period: to a few regions, in rotation. */
	nextMessages(): OutgoingMessage[] {
		const regions = this.#knownRegions();
		const first = this.#nextRegionIndex;
		this.#nextRegionIndex += regionsPerPeriod;
		const count = Math.min(regionsPerPeriod, regions.length);
		const chosen = Array.from({length: count}, (_, index) => regions[(first + index) % regions.length]!);
		return chosen.flatMap(region => this.#startExchange(region));
	}

	/** Returns messages to all other regions. */
	allMessages(): OutgoingMessage[] {
		return this.#knownRegions().flatMap(region => this.#startExchange(region));
	}

	/** Returns the response to another region's message, or nothing if the exchange is complete. */
	respond(message: RegionMessage, nowMs: number): OutgoingMessage[] {
		this.#table.recordContact(message.region, nowMs);
		this.#table.raiseOwnVersion(message.knownVersion, message.knownHash);
		const isSenderCurrent = message.knownHash === this.#table.ownDigest(this.#summaryHosts()).hash;
		const isDue = message.step === 0 || (message.step === 1 && !isSenderCurrent);
		return isDue ? [this.#compose(message.address, message.region, message.step + 1, !isSenderCurrent)] : [];
	}

	#knownRegions(): string[] {
		const regions = new Set([...this.#table.regions(), ...this.#listedAddresses.keys()]);
		regions.delete(this.#ownRegion);
		return [...regions].toSorted();
	}

	#startExchange(region: string): OutgoingMessage[] {
		const known = this.#table.hostsOf(region).map(member => member.peers);
		const isKnownHostChosen = known.length > 0 && this.#random.below(listedAddressInterval) > 0;
		const candidates = isKnownHostChosen ? known : [...known, ...(this.#listedAddresses.get(region) ?? [])];
		const [address] = this.#random.sample(candidates, 1);
		return address === undefined ? [] : [this.#compose(address, region, 0, false)];
	}

	#compose(address: string, region: string, step: number, hasSummary: boolean): OutgoingMessage {
		const own = this.#table.ownDigest(this.#summaryHosts());
		const known = this.#table.digestOf(region);
		const fields: OutgoingMessage['fields'] = {
			kind: 'region',
			step,
			region: this.#ownRegion,
			ownVersion: own.version,
			ownHash: own.hash,
			knownVersion: known.version,
			knownHash: known.hash,
			summaries: hasSummary ? [this.#table.ownSummary(this.#summaryHosts())] : [],
		};
		return {address, fields};
	}

	#summaryHosts(): readonly Member[] {
		return this.#delegateOrder().slice(0, maxSummaryHosts);
	}
}

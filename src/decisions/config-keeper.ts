import {type SeededRandom} from './seeded-random.js';

type KeeperEffect =
	/** Pull what is new from the daemon at this address. */
	| {readonly kind: 'pull'; readonly address: string}
	/** Read the manifest from the store. */
	| {readonly kind: 'read_store'}
	/** Keep a watch on the manifest, or end it. */
	| {readonly kind: 'watch'; readonly isWatching: boolean};

/** Members of a region that watch the store. */
const watchersPerRegion = 2;
/** Time after which another peer is asked in place of one that has not answered a pull, in milliseconds. */
const pullTimeoutMs = 600;
/** Time in which a new host looks for peers before it asks the store, in milliseconds. */
const peersFirstMs = 1500;
/** Shortest time between reads of the store by a host that has no configuration, in milliseconds. */
const storeRetryMs = 2000;
/** Sources remembered for the newest revision. */
const maxSources = 4;

/**
 * Decides where a host gets its configuration: few members of a region watch the store, the others pull
 * from the peers that tell of a newer revision. Only a higher revision than the one in force is adopted.
 */
export class ConfigKeeper {
	readonly #random: SeededRandom;
	readonly #startMs: number;
	#revision = 0;
	#wanted: {revision: number; sources: string[]} = {revision: 0, sources: []};
	#pull: {readonly address: string; readonly startMs: number} | undefined;
	#isWatching = false;
	#lastReadMs = Number.NEGATIVE_INFINITY;

	constructor(random: SeededRandom, startMs: number) {
		this.#random = random;
		this.#startMs = startMs;
	}

	/** Revision in force here; 0 for none. */
	get revision(): number {
		return this.#revision;
	}

	/** Takes in word of a revision from a peer. */
	heard(revision: number, address: string, nowMs: number): KeeperEffect[] {
		if (revision <= this.#revision || revision < this.#wanted.revision) {
			return [];
		}

		if (revision > this.#wanted.revision) {
			this.#wanted = {revision, sources: []};
		}

		if (!this.#wanted.sources.includes(address)) {
			this.#wanted.sources.push(address);
			this.#wanted.sources.splice(0, this.#wanted.sources.length - maxSources);
		}

		return this.#pullNext(nowMs);
	}

	/** Adopts a whole, checked configuration if its revision is higher; answers whether it was adopted. */
	offer(revision: number): boolean {
		this.#pull = undefined;
		if (revision <= this.#revision) {
			return false;
		}

		this.#revision = revision;
		return true;
	}

	/** Takes in that a pull brought nothing usable. */
	failed(address: string, nowMs: number): KeeperEffect[] {
		this.#wanted.sources = this.#wanted.sources.filter(source => source !== address);
		this.#pull = undefined;
		return this.#pullNext(nowMs);
	}

	/** Advances time; `rank` is the host's place among its region's delegates, from 0. */
	tick(nowMs: number, rank: number): KeeperEffect[] {
		const effects: KeeperEffect[] = [];
		const isWatcher = rank < watchersPerRegion;
		if (isWatcher !== this.#isWatching) {
			this.#isWatching = isWatcher;
			effects.push({kind: 'watch', isWatching: isWatcher});
		}

		if (this.#pull !== undefined && nowMs - this.#pull.startMs > pullTimeoutMs) {
			effects.push(...this.failed(this.#pull.address, nowMs));
		}

		const isBootstrapping = this.#revision === 0 && nowMs - this.#startMs >= peersFirstMs;
		if (isBootstrapping && !isWatcher && nowMs - this.#lastReadMs >= storeRetryMs) {
			this.#lastReadMs = nowMs;
			effects.push({kind: 'read_store'});
		}

		return effects;
	}

	#pullNext(nowMs: number): KeeperEffect[] {
		if (this.#pull !== undefined || this.#wanted.revision <= this.#revision || this.#wanted.sources.length === 0) {
			return [];
		}

		const address = this.#random.sample(this.#wanted.sources, 1)[0]!;
		this.#pull = {address, startMs: nowMs};
		return [{kind: 'pull', address}];
	}
}

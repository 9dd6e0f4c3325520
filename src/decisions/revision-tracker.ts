import {type SeededRandom} from './seeded-random.js';

type Effect =
	/** Pulls the changes since the local revision from the daemon at this address. */
	| {readonly kind: 'pull'; readonly address: string}
	/** Reads the current state from the store once. */
	| {readonly kind: 'read_store'}
	/** Starts or stops the watch on the store. */
	| {readonly kind: 'watch'; readonly isWatching: boolean};

/** Number of members of a region that watch the store. */
const watchersPerRegion = 2;
/** Time after which an unanswered pull counts as failed and the next peer is tried. */
const pullTimeoutMs = 600;
/** Time for which a new host waits for updates from peers before it reads the store itself. */
const storeReadDelayMs = 1500;
/** Shortest time between store reads by a host that has no revision yet. */
const storeReadIntervalMs = 2000;
/** Number of peers remembered as sources of the newest reported revision. */
const maxSources = 4;

/**
 * Decides where a host obtains new revisions of the configuration or the routes: a few members of each region watch
 * the store, and the others pull from peers that report a newer revision. A revision is adopted only if it is higher
 * than the current one.
 */
export class RevisionTracker {
	readonly #random: SeededRandom;
	readonly #startMs: number;
	#revision = 0;
	#newestReported: {revision: number; sources: string[]} = {revision: 0, sources: []};
	#pull: {readonly address: string; readonly startMs: number} | undefined;
	#isWatching = false;
	#lastStoreReadMs = Number.NEGATIVE_INFINITY;

	constructor(random: SeededRandom, startMs: number) {
		this.#random = random;
		this.#startMs = startMs;
	}

	/** Current revision of this host; 0 before the first one. */
	get revision(): number {
		return this.#revision;
	}

	/** Records that a peer reported a revision; starts a pull if it is newer and none is in progress. */
	recordRevision(revision: number, address: string, nowMs: number): Effect[] {
		if (revision <= this.#revision || revision < this.#newestReported.revision) {
			return [];
		}

		if (revision > this.#newestReported.revision) {
			this.#newestReported = {revision, sources: []};
		}

		if (!this.#newestReported.sources.includes(address)) {
			this.#newestReported.sources.push(address);
			this.#newestReported.sources.splice(0, this.#newestReported.sources.length - maxSources);
		}

		return this.#startPull(nowMs);
	}

	/** Adopts the revision of a complete, validated configuration if it is higher; returns whether it was adopted. */
	adopt(revision: number): boolean {
		this.#pull = undefined;
		if (revision <= this.#revision) {
			return false;
		}

		this.#revision = revision;
		return true;
	}

	/** Records that a pull failed or returned nothing usable, and tries the next source. */
	recordPullFailure(address: string, nowMs: number): Effect[] {
		this.#newestReported.sources = this.#newestReported.sources.filter(source => source !== address);
		this.#pull = undefined;
		return this.#startPull(nowMs);
	}

	/** Advances time. `rank` is the host's position in its region's order of delegates, starting at 0. */
	tick(nowMs: number, rank: number): Effect[] {
		const effects: Effect[] = [];
		const isWatcher = rank < watchersPerRegion;
		if (isWatcher !== this.#isWatching) {
			this.#isWatching = isWatcher;
			effects.push({kind: 'watch', isWatching: isWatcher});
		}

		if (this.#pull !== undefined && nowMs - this.#pull.startMs > pullTimeoutMs) {
			effects.push(...this.recordPullFailure(this.#pull.address, nowMs));
		}

		const isBootstrapping = this.#revision === 0 && nowMs - this.#startMs >= storeReadDelayMs;
		if (isBootstrapping && !isWatcher && nowMs - this.#lastStoreReadMs >= storeReadIntervalMs) {
			this.#lastStoreReadMs = nowMs;
			effects.push({kind: 'read_store'});
		}

		return effects;
	}

	#startPull(nowMs: number): Effect[] {
		if (this.#pull !== undefined || this.#newestReported.revision <= this.#revision || this.#newestReported.sources.length === 0) {
			return [];
		}

		const address = this.#random.sample(this.#newestReported.sources, 1)[0]!;
		this.#pull = {address, startMs: nowMs};
		return [{kind: 'pull', address}];
	}
}

import {type StoreVersion} from '../contracts/store-version.js';
import {compareVersions} from './compare-versions.js';
import {ConfirmedContacts} from './confirmed-contacts.js';
import {EraTracker} from './era-tracker.js';
import {type RevisionEffect} from './revision-effect.js';
import {type RevisionTiming} from './revision-timing.js';
import {type SeededRandom} from './seeded-random.js';
import {WatchEvidence} from './watch-evidence.js';

/** Number of members of a region that are designated to watch the store. */
const watchersPerRegion = 2;
const defaultTiming: RevisionTiming = {probeIntervalMs: 500, staleAfterMs: 1000, pullDelayMs: 0};
/** Additional time per rank, so that one substitute usually reports before the others start. */
const substituteStaggerMs = 150;
/** Largest number of ranks that are staggered; it bounds the time until the last host acts for itself. */
const maxStaggeredRanks = 3;
/** Interval at which a host without contact probes, as a multiple of the watchers' interval. */
const staleProbeFactor = 2;
/** Time without progress of a pull after which it counts as failed and the next peer is tried. */
const pullTimeoutMs = 600;
/** Time for which a new host waits for updates from peers before it reads the store itself. */
const storeReadDelayMs = 1500;
/** Shortest time between store reads by a host that has no revision yet. */
const storeReadIntervalMs = 2000;
/** Shortest time between pulls from daemons that state no era: their responses have all items. */
const unorderedPullIntervalMs = 2000;
/**
 * Time since which a watcher may at most have had all changes for its contact to confirm those of its region: a little more than the interval of
 * its probes. It adds to the time for which hosts rely on what they know.
 */
const maxReportedAgeMs = 600;
/** Number of peers remembered as sources of the newest reported revision. */
const maxSources = 4;

/**
 * Decides where a host obtains new revisions of the configuration or the routes: a few designated members of each region
 * watch the store, and the others pull from peers that report a newer version. A version is adopted only if it is
 * higher than the current one, by era and then by revision.
 *
 * A watcher that is cut off, frozen or dead reports nothing, and neither does a store without changes. Watchers therefore
 * probe the store and report each contact to their region, as long as their watches and reads are answered, too. A host that hears of no contact probes the store itself, and
 * watches it as a substitute once it has been answered.
 *
 * Hosts of the release before state no era. To a host that knows the store's era their revisions say nothing: they are neither
 * newer nor older, and their contact to the store does not stand for its own.
 */
export class RevisionTracker {
	readonly #random: SeededRandom;
	readonly #startMs: number;
	readonly #timing: RevisionTiming;
	readonly #eras = new EraTracker();
	readonly #confirmed = new ConfirmedContacts();
	readonly #evidence = new WatchEvidence();
	#version: StoreVersion = {era: 0, revision: 0};
	#newestReported: {version: StoreVersion; sources: string[]} = {version: {era: 0, revision: 0}, sources: []};
	#behindSinceMs: number | undefined;
	/** Time of the latest adoption. */
	#progressMs = Number.NEGATIVE_INFINITY;
	#pull: {readonly address: string; readonly progressMs: number} | undefined;
	#isWatching = false;
	#isSubstitute = false;
	/** Whether the store answered none of the latest watch and the reads after it: this host then gets no changes, though the store may answer its probes. */
	#isReadFailing = false;
	#rank = Number.POSITIVE_INFINITY;
	/** Latest time at which the store answered this host or a watcher whose changes this host has. */
	#contactMs: number;
	/** Latest reported contact, with the version that the watcher had. */
	#reportedContact: {readonly version: StoreVersion; readonly atMs: number} | undefined;
	#lastProbeMs = Number.NEGATIVE_INFINITY;
	#lastStoreReadMs = Number.NEGATIVE_INFINITY;
	#lastUnorderedPullMs = Number.NEGATIVE_INFINITY;

	constructor(random: SeededRandom, startMs: number, timing: Partial<RevisionTiming> = {}) {
		this.#random = random;
		this.#startMs = startMs;
		this.#timing = {...defaultTiming, ...timing};
		this.#contactMs = startMs;
	}

	/** Current revision of this host; 0 before the first one. */
	get revision(): number {
		return this.#version.revision;
	}

	/** Current version of this host. */
	get version(): StoreVersion {
		return this.#version;
	}

	/** Time since which this host has known of a newer version than its own, in monotonic milliseconds; `undefined` while it knows of none. */
	get behindSinceMs(): number | undefined {
		return this.#behindSinceMs;
	}

	/**
	 * Returns the time since which nothing has confirmed that this host has the store's latest changes, in milliseconds; infinite before the
	 * first confirmation. A change reaches a watcher, and a contact this host, within a part of a second.
	 */
	unconfirmedMs(nowMs: number): number {
		return this.#confirmed.unconfirmedMs(nowMs);
	}

	/** Whether this host has heard of an era of the store whose items it does not have. */
	get isBehindEra(): boolean {
		return this.#eras.isBehind;
	}

	/** Whether this host watches the store. */
	get isWatching(): boolean {
		return this.#isWatching;
	}

	/** Whether this host watches the store because it heard of no contact of the designated watchers. */
	get isSubstitute(): boolean {
		return this.#isSubstitute;
	}

	/** Records that a peer reported a version; starts a pull if it is newer and none is in progress. */
	recordVersion(version: StoreVersion, address: string, nowMs: number): RevisionEffect[] {
		if (version.era === 0 && this.#version.era > 0) {
			return this.#pullUnordered(address, nowMs);
		}

		this.#eras.hear(version.era, nowMs);
		if (compareVersions(version, this.#version) <= 0 || compareVersions(version, this.#newestReported.version) < 0) {
			return [];
		}

		this.#behindSinceMs ??= nowMs;

		if (compareVersions(version, this.#newestReported.version) > 0) {
			this.#newestReported = {version, sources: []};
		}

		if (!this.#newestReported.sources.includes(address)) {
			this.#newestReported.sources.push(address);
			this.#newestReported.sources.splice(0, this.#newestReported.sources.length - maxSources);
		}

		return this.#startPull(nowMs);
	}

	/** Adopts the version of a complete, validated configuration if it is higher; returns whether it was adopted. `nowMs` matters only with a pull delay. */
	adopt(version: StoreVersion, nowMs = Number.NEGATIVE_INFINITY): boolean {
		this.#pull = undefined;
		if (compareVersions(version, this.#version) <= 0) {
			return false;
		}

		this.#version = version;
		this.#progressMs = nowMs;
		if (compareVersions(version, this.#newestReported.version) >= 0) {
			this.#behindSinceMs = undefined;
		}

		this.#eras.enter(version.era);
		this.#countReportedContact();
		this.#confirmed.count(version);
		return true;
	}

	/** Records the era that the store stated to this host in any response, and reads the store if it is newer and nobody else is likely to. */
	recordStoreEra(era: number, nowMs: number): RevisionEffect[] {
		this.#eras.hear(era, nowMs);
		return this.#readIfBehind(nowMs);
	}

	/** Records that the store stated an era in a full read, which no other statement outranks. */
	recordFullRead(era: number): void {
		this.#eras.confirm(era);
	}

	/** Records that the store answered a probe of this host, sent at `sentMs` (by default, the latest one), and the era that it stated. Of an older era, the answer is late and says nothing. */
	recordProbeAnswer(era: number, nowMs: number, sentMs = this.#lastProbeMs): RevisionEffect[] {
		if (era < this.#version.era) {
			return [];
		}

		const effects = this.#isStale(nowMs) && !this.#isDesignated() ? this.#setSubstitute(true) : [];
		if (era > this.#version.era) {
			// The watch that begins now, or is restarted, reads all items first. Until then this host lacks changes and reports no contact.
			const reads = this.recordStoreEra(era, nowMs);
			return effects.length > 0 ? effects : reads;
		}

		if (this.#isWatching && this.#isReadFailing) {
			return effects;
		}

		if (this.#isWatching && this.#evidence.isSuspect) {
			this.#evidence.reset();
			return [...effects, {kind: 'read_store'}];
		}

		this.#contactMs = nowMs;
		if (!this.#isWatching) {
			return effects;
		}

		this.#evidence.recordProbeAnswer(sentMs, nowMs);
		this.#confirmed.confirm(this.#evidence.confirmedMs);
		return [...effects, {kind: nowMs - this.#evidence.confirmedMs <= maxReportedAgeMs ? 'report_contact' : 'report_answer'}];
	}

	/** Records that the store did not answer a probe of this host. */
	recordProbeFailure(): void {
		this.#evidence.recordProbeFailure();
	}

	/** Records that this host waits for the changes after those that it has, in the next call of its watch. */
	recordWatchStart(nowMs: number): void {
		this.#evidence.recordCall(nowMs);
	}

	/** Records that a response to a watch arrives, or that a full read has begun: until its end this host lacks changes. */
	recordReadProgress(nowMs: number): void {
		this.#evidence.recordProgress(nowMs);
	}

	/**
	 * Records whether the store answered a watch or a full read of this host, and whether with all changes. They are those until the response began, or
	 * until the full read did.
	 */
	recordRead(isAnswered: boolean, isComplete = isAnswered): void {
		this.#evidence.recordEnd(isAnswered, isComplete);
		this.#confirmed.confirm(this.#evidence.confirmedMs);
		this.#isReadFailing = !isAnswered;
	}

	/**
	 * Records that the store has just answered a watcher of this region, which has this version and this rank; revision 0 says that it may lack changes. A watcher of an older era
	 * delivers no changes of this one, so that its contact does not count.
	 */
	recordReportedContact(version: StoreVersion, rank: number, nowMs: number): RevisionEffect[] {
		if (version.era < this.#version.era) {
			return [];
		}

		this.#eras.hear(version.era, nowMs);
		this.#reportedContact = {version, atMs: nowMs};
		if (version.revision > 0) {
			this.#confirmed.add(version, nowMs, this.#version);
		}

		this.#countReportedContact();
		return rank < this.#rank ? this.#setSubstitute(false) : [];
	}

	/** Records that a part of the response to a pull arrived. */
	recordPullProgress(address: string, nowMs: number): void {
		if (this.#pull?.address === address) {
			this.#pull = {address, progressMs: nowMs};
		}
	}

	/** Records that a pull failed or returned nothing usable, and tries the next source unless another pull has begun. */
	recordPullFailure(address: string, nowMs: number): RevisionEffect[] {
		this.#newestReported.sources = this.#newestReported.sources.filter(source => source !== address);
		if (this.#pull?.address === address) {
			this.#pull = undefined;
		}

		return this.#startPull(nowMs);
	}

	/** Advances time. `rank` is the host's position in its region's order of delegates, starting at 0. */
	tick(nowMs: number, rank: number): RevisionEffect[] {
		this.#rank = rank;
		const effects: RevisionEffect[] = this.#setSubstitute(this.#isSubstitute && !this.#isDesignated());
		const isProbing = this.#isWatching || this.#isStale(nowMs);
		const probeIntervalMs = this.#timing.probeIntervalMs * (this.#isWatching ? 1 : staleProbeFactor);
		if (isProbing && nowMs - this.#lastProbeMs >= probeIntervalMs) {
			this.#lastProbeMs = nowMs;
			effects.push({kind: 'probe_store'});
		}

		if (this.#pull !== undefined && nowMs - this.#pull.progressMs > pullTimeoutMs) {
			effects.push(...this.recordPullFailure(this.#pull.address, nowMs));
		}

		const isBootstrapping = this.#version.revision === 0 && nowMs - this.#startMs >= storeReadDelayMs;
		if (isBootstrapping && !this.#isWatching && nowMs - this.#lastStoreReadMs >= storeReadIntervalMs) {
			this.#lastStoreReadMs = nowMs;
			effects.push({kind: 'read_store'});
		}

		return [...effects, ...this.#startPull(nowMs), ...this.#readIfBehind(nowMs)];
	}

	#readIfBehind(nowMs: number): RevisionEffect[] {
		return this.#eras.isReadDue(nowMs, this.#isWatching) ? [{kind: 'read_store'}] : [];
	}

	/** A host without contact to the store and to daemons that know the era asks those that do not: they may have a newer configuration. */
	#pullUnordered(address: string, nowMs: number): RevisionEffect[] {
		if (!this.#isStale(nowMs) || nowMs - this.#lastUnorderedPullMs < unorderedPullIntervalMs) {
			return [];
		}

		this.#lastUnorderedPullMs = nowMs;
		return [{kind: 'pull_unordered', address}];
	}

	#isDesignated(): boolean {
		return this.#rank < watchersPerRegion;
	}

	#isStale(nowMs: number): boolean {
		const staggeredRanks = Math.min(maxStaggeredRanks, Math.max(0, this.#rank - watchersPerRegion));
		return nowMs - this.#contactMs >= this.#timing.staleAfterMs + (staggeredRanks * substituteStaggerMs);
	}

	/** Counts a watcher's contact as this host's own once this host has the watcher's changes. */
	#countReportedContact(): void {
		if (this.#reportedContact?.version.era === this.#version.era && this.#reportedContact.version.revision <= this.#version.revision) {
			this.#contactMs = Math.max(this.#contactMs, this.#reportedContact.atMs);
		}
	}

	#setSubstitute(isSubstitute: boolean): RevisionEffect[] {
		this.#isSubstitute = isSubstitute;
		const isWatching = isSubstitute || this.#isDesignated();
		if (isWatching === this.#isWatching) {
			return [];
		}

		this.#isWatching = isWatching;
		this.#isReadFailing = false;
		this.#evidence.reset();
		return [{kind: 'watch', isWatching}];
	}

	/** Only changes of the era of this host's version can be applied to it, so that others are pulled at once. */
	#isPullDelayed(nowMs: number): boolean {
		const isSameEra = this.#version.revision > 0 && this.#newestReported.version.era === this.#version.era;
		return isSameEra && nowMs - Math.max(this.#behindSinceMs ?? nowMs, this.#progressMs) < this.#timing.pullDelayMs;
	}

	#startPull(nowMs: number): RevisionEffect[] {
		if (this.#isPullDelayed(nowMs) || this.#pull !== undefined || compareVersions(this.#newestReported.version, this.#version) <= 0 || this.#newestReported.sources.length === 0) {
			return [];
		}

		const address = this.#random.sample(this.#newestReported.sources, 1)[0]!;
		this.#pull = {address, progressMs: nowMs};
		return [{kind: 'pull', address}];
	}
}

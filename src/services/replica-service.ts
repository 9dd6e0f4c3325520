import {type Clock} from '../contracts/clock.js';
import {ItemPull} from '../contracts/item-pull.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type StoreChange} from '../contracts/store-change.js';
import {type StoreVersion} from '../contracts/store-version.js';
import {type RevisionTracker} from '../decisions/revision-tracker.js';
import {ItemReplica} from '../decisions/item-replica.js';
import {type StoreOutage} from '../decisions/store-outage.js';
import {type TransferAdmission} from '../decisions/transfer-admission.js';
import {compareVersions} from '../decisions/compare-versions.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {ChangeSpreader} from './change-spreader.js';
import {decodeItemPull} from './decode-item-pull.js';
import {describeCallError} from './describe-call-error.js';
import {itemDelta} from './item-delta.js';
import {ItemPullEncoder} from './item-pull-encoder.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {pause} from './pause.js';
import {type PeerClient} from './peer-client.js';
import {StoreReader} from './store-reader.js';

type ReplicaOptions = {
	readonly revisionTracker: RevisionTracker;
	readonly outage: StoreOutage;
	readonly clock: Clock;
	readonly store: PrefixStore;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly peerClient: PeerClient;
	/** Addresses of daemons from which the items are pulled if the store does not respond at start. */
	readonly seeds: readonly string[];
	readonly admission: TransferAdmission;
};

type RevisionTrackerEffects = ReturnType<RevisionTracker['tick']>;
type ChangesPart = Parameters<Parameters<MembersService['onChangesPart']>[0]>[0];
type ChangeListener = (changes: readonly StoreChange[], source: string) => void;

const tickMs = 100;
/** Time for which the start of the daemon waits for the first items. */
const startTimeoutMs = 600;
/** Time of knowing of a newer version without having it from which a line is logged; a pull usually takes less than a tenth of this. */
const minLoggedBehindMs = 1000;
/** Pause between attempts to read the first items. */
const bootstrapRetryMs = 400;

/**
 * Maintains this host's replica of the store's items. The watchers of a region read them from the store, all other hosts from peers.
 * After a restore of the store, all items come from it or from a peer again; until then what is known stays in force.
 */
export class ReplicaService {
	readonly items = new ItemReplica();
	readonly #options: ReplicaOptions;
	readonly #listeners: ChangeListener[] = [];
	readonly #eraListeners: Array<(era: number, retainUntilMs: number) => Promise<void> | void> = [];
	readonly #reader: StoreReader;
	readonly #spreader: ChangeSpreader;
	readonly #pullEncoder = new ItemPullEncoder();
	#members: MembersService | undefined;
	#watch: AbortController | undefined;
	/** Newest era that the store stated to this host, or a peer with items of it. */
	#statedEra = 0;
	/** Whether this process had items of an era when it came to a later one. */
	#hasChangedEra = false;
	#isClosed = false;

	constructor(options: ReplicaOptions) {
		this.#options = options;
		this.#spreader = new ChangeSpreader({...options, items: this.items});
		this.#reader = new StoreReader({
			...options,
			items: this.items,
			onEra: era => {
				this.#noteEra(era, 'store');
			},
			onWatch() {
				options.revisionTracker.recordWatchStart(options.clock.nowMs());
			},
			onProgress() {
				options.revisionTracker.recordReadProgress(options.clock.nowMs());
			},
			onRead(isAnswered, isComplete) {
				options.revisionTracker.recordRead(isAnswered, isComplete);
			},
			onChanges: (changes, since) => {
				this.#propagateChanges(changes, 'store', this.#spread(since) ? 'spread' : 'announced');
			},
			onFullRead(era) {
				options.revisionTracker.recordFullRead(era);
			},
		});
	}

	/** Whether this host's latest call to the store failed. */
	get isStoreUnavailable(): boolean {
		return this.#options.outage.isUnavailable;
	}

	/** Time since which nothing has confirmed that this host has the store's latest changes, in milliseconds; infinite after a pause of this process. */
	get unconfirmedMs(): number {
		if (this.#members?.isConfident() === false) {
			return Number.POSITIVE_INFINITY;
		}

		return this.#options.revisionTracker.unconfirmedMs(this.#options.clock.nowMs());
	}

	/** Registers a listener that is called with each set of changes. */
	onChange(listener: ChangeListener): void {
		this.#listeners.push(listener);
	}

	/**
	 * Registers a listener that is called at the first contact to each new era of the store, with the era and the time until
	 * which what it lacks is retained.
	 */
	onNewEra(listener: (era: number, retainUntilMs: number) => Promise<void> | void): void {
		this.#eraListeners.push(listener);
	}

	/** Records the era that a response to another service of this host states, and reads the items if they are of an older one. */
	recordStoreEra(era: number, source: string): void {
		this.#noteEra(era, source);
		if (this.#members !== undefined) {
			this.#runEffects(this.#options.revisionTracker.recordStoreEra(era, this.#options.clock.nowMs()));
		}
	}

	/** Starts to read the items from the store or a seed, with retries. Resolves once the first read has succeeded, or after a short timeout. */
	async start(lifecycle: Lifecycle): Promise<void> {
		lifecycle.addCleanup('store watch', () => {
			this.#isClosed = true;
			this.#watch?.abort();
		});
		await Promise.race([this.#bootstrap(), pause(startTimeoutMs)]);
	}

	/** Keeps the replica up to date: watches the store if this host is one of its region's watchers, and pulls from members that report a newer revision. */
	follow(members: MembersService, lifecycle: Lifecycle): void {
		const {revisionTracker, clock} = this.#options;
		this.#members = members;
		members.run(members.membership.setVersion(this.items.version));
		members.onRevision((version, address) => {
			this.#runEffects(revisionTracker.recordVersion(version, address, clock.nowMs()));
		});
		members.onStoreContact((version, rank) => {
			// After a pause, the contact may be as old as the pause.
			const contact = members.isConfident() ? version : {...version, revision: 0};
			this.#runEffects(revisionTracker.recordReportedContact(contact, rank, clock.nowMs()));
		});
		members.onChangesPart(part => {
			this.#receivePart(part);
		});
		this.#options.metrics.gauge('store_era', () => this.items.version.era);
		this.#options.metrics.gauge('store_unconfirmed_seconds', () => this.unconfirmedMs / 1000);
		this.#options.metrics.gauge('store_watching', () => Number(revisionTracker.isWatching));
		lifecycle.every('replica tick', tickMs, () => {
			this.#runEffects(revisionTracker.tick(clock.nowMs(), members.membership.delegateRank()));
		});
	}

	/** Returns the changes after a version, for a peer that has all changes up to it; all items if there are gaps and the peer does not know them. */
	changesSince(have: {readonly revision: number; readonly era: number | undefined}, acceptsGaps: boolean): ItemPull {
		const {era} = this.items.version;
		// A peer of the release before does not know the era of its revision. Once the era has changed here, it may be the one before.
		const isUnordered = have.era === undefined && this.#hasChangedEra;
		const delta = this.items.deltaSince({era: have.era ?? era, revision: isUnordered ? 0 : have.revision});
		const changes = itemDelta.toChanges(delta.gaps.length > 0 && !acceptsGaps ? this.items.deltaSince({era, revision: 0}) : delta, this.#options.clock.nowMs());
		return {
			...changes,
			era,
			isWhole: changes.sinceRevision === 0,
			// Such a peer ignores a value unless its revision is higher than that of the value it has.
			items: isUnordered ? changes.items.map(item => ({...item, revision: changes.revision})) : changes.items,
		};
	}

	/**
	 * Returns what `changesSince` does, or `undefined` if it is large and this host is sending as much as its link carries to other peers.
	 * `onResponseEnd` registers a listener for the end of the response. The items are compressed if they are large and the peer accepts that.
	 */
	answerPull(have: Parameters<typeof this.changesSince>[0], acceptsGaps: boolean, onResponseEnd: (listener: () => void) => void, acceptsDeflated = false): ItemPull | undefined {
		const {admission, clock, metrics, logger} = this.#options;
		const {pull, bytes} = this.#pullEncoder.encode(this.changesSince(have, acceptsGaps), acceptsDeflated);
		const end = admission.admit(bytes, clock.nowMs());
		if (end === undefined) {
			metrics.count('replica_pulls_refused');
			logger.limited('a peer is refused a large transfer while others are in progress', {bytes});
			return undefined;
		}

		onResponseEnd(end);
		return pull;
	}

	async #bootstrap(): Promise<void> {
		while (!this.#isClosed && this.items.revision === 0) {
			if (await this.#reader.readAll() !== undefined) {
				return;
			}

			for (const address of this.#options.seeds) {
				if (this.items.revision === 0) {
					await this.#pull(address);
				}
			}

			if (this.items.revision === 0) {
				await pause(bootstrapRetryMs);
			}
		}
	}

	/** Records the era that a response of the store states, or of a peer that has items of it. */
	#noteEra(era: number, source: string): void {
		const {clock, logger, metrics, outage} = this.#options;
		if (era <= this.#statedEra) {
			return;
		}

		const previousEra = this.#statedEra;
		this.#statedEra = era;
		if (this.items.revision === 0) {
			// A process without items has nothing to retain.
			return;
		}

		const nowMs = clock.nowMs();
		this.#hasChangedEra = true;
		outage.recordNewEra(nowMs);
		metrics.count('store_era_changes');
		logger.warn('the store states a new era; what is known stays in force until all items are read again', {
			era, previousEra, source, revision: this.items.revision,
		});
		for (const listener of this.#eraListeners) {
			void listener(era, outage.eraRetainUntilMs(nowMs));
		}
	}

	#runEffects(effects: RevisionTrackerEffects): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'pull': {
					void this.#pull(effect.address);
					break;
				}

				case 'pull_unordered': {
					void this.#pullUnordered(effect.address);
					break;
				}

				case 'read_store': {
					if (this.#watch === undefined) {
						void this.#reader.readAll();
					} else {
						this.#startWatch();
					}

					break;
				}

				case 'watch': {
					this.#setWatching(effect.isWatching);
					break;
				}

				case 'probe_store': {
					void this.#probeStore();
					break;
				}

				case 'report_contact':
				case 'report_answer': {
					this.#members?.run(this.#members.membership.reportStoreContact(effect.kind === 'report_contact'));
					break;
				}
			}
		}
	}

	async #pull(address: string): Promise<void> {
		const {peerClient, revisionTracker, clock, logger, metrics, outage} = this.#options;
		metrics.count('replica_pulls');
		const startMs = clock.nowMs();
		try {
			const {era: haveEra, revision: haveRevision} = this.items.version;
			const pull = decodeItemPull(await peerClient.steering(address, () => {
				revisionTracker.recordPullProgress(address, clock.nowMs());
			}).items.mutate({
				haveRevision, haveEra, acceptsGaps: true, acceptsDeflated: true,
			}));
			const {era = 0, isWhole, sinceRevision = isWhole ? 0 : haveRevision, gaps = isWhole ? [[0, pull.revision]] : []} = pull;
			this.#noteEra(era, address);
			const nowMs = clock.nowMs();
			const changes = this.items.applyDelta({
				...pull,
				version: {era, revision: pull.revision},
				sinceRevision,
				...itemDelta.fromChanges({removals: pull.removals, gaps}, nowMs),
			}, outage.eraRetainUntilMs(nowMs));
			const tookMs = nowMs - startMs;
			metrics.observe('replica_pull_seconds', {scope: isWhole ? 'all' : 'changes'}, tookMs);
			if (isWhole) {
				logger.info('all items pulled from a peer', {
					address, era, revision: pull.revision, items: pull.items.length, changes: changes.length, tookMs: Math.round(tookMs),
				});
			}

			this.#propagateChanges(changes, address);
			revisionTracker.adopt(this.items.version);
		} catch (err) {
			const nowMs = clock.nowMs();
			metrics.count('replica_pull_failures');
			logger.limited('pulling items from a peer failed', {address, err: describeCallError(err), tookMs: Math.round(nowMs - startMs)});
			this.#runEffects(revisionTracker.recordPullFailure(address, nowMs));
		}
	}

	/**
	 * Asks a daemon that states no era for all items, while this host has no other source. Nothing orders them against what is known, so that
	 * they do not enter the replica; the listeners take from them only what has an order of its own.
	 */
	async #pullUnordered(address: string): Promise<void> {
		const {peerClient, logger, metrics} = this.#options;
		metrics.count('replica_pulls');
		try {
			const pull = ItemPull.parse(await peerClient.steering(address).items.mutate({haveRevision: 0, acceptsGaps: true}));
			if (pull.era === undefined) {
				this.#notifyListeners(pull.items.map(item => ({kind: 'written', item, origin: 'unordered'})), address);
			}
		} catch (err) {
			logger.debug('pulling items from a peer failed', {address, err: String(err)});
		}
	}

	#notifyListeners(changes: readonly StoreChange[], source: string): void {
		for (const listener of this.#listeners) {
			listener(changes, source);
		}
	}

	/** Spreads the changes since a version in the region if this host watches the store; returns whether it did. */
	#spread(since: StoreVersion): boolean {
		const parts = this.#options.revisionTracker.isWatching ? this.#spreader.encodeSince(since) : undefined;
		if (this.#members === undefined || parts === undefined) {
			return false;
		}

		this.#members.run(this.#members.membership.spreadChanges(this.items.version, parts));
		return true;
	}

	/** Applies changes that a watcher spreads. If earlier ones are missing here, they are pulled. */
	#receivePart(part: ChangesPart): void {
		const {clock, revisionTracker} = this.#options;
		const applied = this.#spreader.receive(part);
		if (applied === undefined) {
			return;
		}

		this.#propagateChanges(applied.changes, part.address, 'spread');
		if (!applied.isComplete) {
			this.#runEffects(revisionTracker.recordVersion(part.version, part.address, clock.nowMs()));
		}
	}

	/** Passes changes on to the services, and announces a new version unless the region hears of it with changes that a watcher spreads. */
	#propagateChanges(changes: readonly StoreChange[], source: string, how: 'announced' | 'spread' = 'announced'): void {
		const {revisionTracker, metrics, clock} = this.#options;
		if (changes.length > 0) {
			metrics.count('replica_changes', {source: source === 'store' ? 'store' : 'peer'}, changes.length);
			this.#notifyListeners(changes, source);
		}

		if (compareVersions(this.items.version, revisionTracker.version) > 0) {
			const isNewEra = this.items.version.era > revisionTracker.version.era;
			const {behindSinceMs} = revisionTracker;
			revisionTracker.adopt(this.items.version, clock.nowMs());
			this.#recordCatchUp(behindSinceMs, source);
			this.#announce(how);
			if (isNewEra && source !== 'store' && this.#watch !== undefined) {
				// The watch waits for changes after a revision of another era.
				this.#startWatch();
			}
		}
	}

	#announce(how: 'announced' | 'spread'): void {
		const {version} = this.items;
		const membership = this.#members?.membership;
		if (membership !== undefined) {
			this.#members!.run(how === 'spread' ? membership.setSpreadVersion(version) : membership.setVersion(version, this.#options.revisionTracker.isWatching));
		}
	}

	/** Records for how long this host knew of a newer version without having it. */
	#recordCatchUp(behindSinceMs: number | undefined, source: string): void {
		const {revisionTracker, metrics, logger, clock} = this.#options;
		if (behindSinceMs === undefined || revisionTracker.behindSinceMs !== undefined) {
			return;
		}

		const behindMs = clock.nowMs() - behindSinceMs;
		metrics.observe('replica_behind_seconds', {}, behindMs);
		if (behindMs >= minLoggedBehindMs) {
			logger.limited('changes of the store arrived late', {behindMs: Math.round(behindMs), revision: this.items.revision, source}, 'warn');
		}
	}

	#setWatching(isWatching: boolean): void {
		const {revisionTracker, logger, metrics} = this.#options;
		this.#watch?.abort();
		this.#watch = undefined;
		if (isWatching && !this.#isClosed) {
			if (revisionTracker.isSubstitute) {
				metrics.count('store_watch_substitutions');
				logger.info('no watcher of the region reports contact to the store; this host watches it too', {revision: this.items.revision});
			}

			this.#startWatch();
		}
	}

	/** Starts the watch, or starts it again; it reads all items first if it is known that theirs is not the era of the store. */
	#startWatch(): void {
		this.#watch?.abort();
		this.#watch = new AbortController();
		void this.#reader.watch(this.#options.revisionTracker.isBehindEra, this.#watch.signal);
	}

	async #probeStore(): Promise<void> {
		const {revisionTracker, clock} = this.#options;
		const sentMs = clock.nowMs();
		const era = await this.#reader.ping();
		if (this.#isClosed) {
			return;
		}

		if (era === undefined) {
			revisionTracker.recordProbeFailure();
		} else {
			this.#runEffects(revisionTracker.recordProbeAnswer(era, clock.nowMs(), sentMs));
		}
	}
}

import {type Clock} from '../contracts/clock.js';
import {ItemPull} from '../contracts/item-pull.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type StoreChange} from '../contracts/store-change.js';
import {type RevisionTracker} from '../decisions/revision-tracker.js';
import {ItemReplica} from '../decisions/item-replica.js';
import {type StoreOutage} from '../decisions/store-outage.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {describeCallError} from './describe-call-error.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {pause} from './pause.js';
import {type PeerClient} from './peer-client.js';

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
};

type RevisionTrackerEffects = ReturnType<RevisionTracker['tick']>;
type ChangeListener = (changes: readonly StoreChange[], source: string) => void;

const tickMs = 100;
/** Maximum duration of one watch; it also bounds a watch on a connection that no longer delivers data. */
const watchWaitMs = 3000;
/** Pause after a watch that returned changes, so that consecutive changes are fetched with one call. */
const batchPauseMs = 150;
/** Time for which the start of the daemon waits for the first items. */
const startTimeoutMs = 600;
/** Bounds of the exponential backoff between retries while the store does not respond. */
const initialBackoffMs = 200;
const maxBackoffMs = 400;
/** Pause between attempts to read the first items. */
const bootstrapRetryMs = 400;

/** Maintains this host's replica of the store's items. The watchers of a region read them from the store, all other hosts from peers. */
export class ReplicaService {
	readonly items = new ItemReplica();
	readonly #options: ReplicaOptions;
	readonly #listeners: ChangeListener[] = [];
	#members: MembersService | undefined;
	#watch: AbortController | undefined;
	#isClosed = false;

	constructor(options: ReplicaOptions) {
		this.#options = options;
	}

	/** Whether this host's latest call to the store failed. */
	get isStoreUnavailable(): boolean {
		return this.#options.outage.isUnavailable;
	}

	/** Registers a listener that is called with each set of changes. */
	onChange(listener: ChangeListener): void {
		this.#listeners.push(listener);
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
		members.run(members.membership.setRevision(this.items.revision));
		members.onRevision((revision, address) => {
			this.#runEffects(revisionTracker.recordRevision(revision, address, clock.nowMs()));
		});
		members.onStoreContact((revision, rank) => {
			this.#runEffects(revisionTracker.recordReportedContact(revision, rank, clock.nowMs()));
		});
		this.#options.metrics.gauge('store_watching', () => Number(revisionTracker.isWatching));
		lifecycle.every('replica tick', tickMs, () => {
			this.#runEffects(revisionTracker.tick(clock.nowMs(), members.membership.delegateRank()));
		});
	}

	/** Returns the changes after a revision, for a peer that has all changes up to it; all items if there are gaps and the peer does not know them. */
	changesSince(haveRevision: number, acceptsGaps: boolean): ItemPull {
		const nowMs = this.#options.clock.nowMs();
		const delta = this.items.deltaSince(haveRevision);
		const {sinceRevision, revision, items, removals, gaps} = delta.gaps.length > 0 && !acceptsGaps ? this.items.deltaSince(0) : delta;
		return {
			revision,
			isWhole: sinceRevision === 0,
			sinceRevision,
			items: [...items],
			removals: removals.map(removal => [removal.key, removal.revision, Math.max(0, removal.retainUntilMs - nowMs)]),
			gaps: gaps.map(({afterRevision, upToRevision}) => [afterRevision, upToRevision]),
		};
	}

	async #bootstrap(): Promise<void> {
		while (!this.#isClosed && this.items.revision === 0) {
			if (await this.#readAll() !== undefined) {
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

	#runEffects(effects: RevisionTrackerEffects): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'pull': {
					void this.#pull(effect.address);
					break;
				}

				case 'read_store': {
					void this.#readAll();
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

				case 'report_contact': {
					this.#members?.run(this.#members.membership.reportStoreContact());
					break;
				}
			}
		}
	}

	async #pull(address: string): Promise<void> {
		const {peerClient, revisionTracker, clock, logger, metrics} = this.#options;
		metrics.count('replica_pulls');
		const startMs = clock.nowMs();
		try {
			const haveRevision = this.items.revision;
			const pull = ItemPull.parse(await peerClient.steering(address).items.mutate({haveRevision, acceptsGaps: true}));
			const {isWhole, sinceRevision = isWhole ? 0 : haveRevision, gaps = isWhole ? [[0, pull.revision]] : []} = pull;
			const nowMs = clock.nowMs();
			const changes = this.items.applyDelta({
				...pull,
				sinceRevision,
				removals: pull.removals.map(([key, revision, retainMs]) => ({
					kind: 'removed', key, revision, retainUntilMs: nowMs + retainMs,
				})),
				gaps: gaps.map(([afterRevision, upToRevision]) => ({afterRevision, upToRevision})),
			}, nowMs);
			const tookMs = nowMs - startMs;
			metrics.observe('replica_pull_seconds', {scope: isWhole ? 'all' : 'changes'}, tookMs);
			if (isWhole) {
				logger.info('all items pulled from a peer', {
					address, revision: pull.revision, items: pull.items.length, changes: changes.length, tookMs: Math.round(tookMs),
				});
			}

			this.#propagateChanges(changes, address);
			revisionTracker.adopt(this.items.revision);
		} catch (err) {
			logger.debug('pulling items from a peer failed', {address, err: describeCallError(err)});
			this.#runEffects(revisionTracker.recordPullFailure(address, clock.nowMs()));
		}
	}

	#propagateChanges(changes: readonly StoreChange[], source: string): void {
		const {revisionTracker, metrics} = this.#options;
		if (changes.length > 0) {
			metrics.count('replica_changes', {source: source === 'store' ? 'store' : 'peer'}, changes.length);
			for (const listener of this.#listeners) {
				listener(changes, source);
			}
		}

		if (this.items.revision > revisionTracker.revision) {
			revisionTracker.adopt(this.items.revision);
			this.#members?.run(this.#members.membership.setRevision(this.items.revision, revisionTracker.isWatching));
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

			this.#watch = new AbortController();
			void this.#watchStore(this.#watch.signal);
		}
	}

	async #probeStore(): Promise<void> {
		const {store, revisionTracker, clock} = this.#options;
		const probe = await store.ping();
		if (this.#isClosed) {
			return;
		}

		if (probe.success) {
			this.#recordStoreResponse();
			this.#runEffects(revisionTracker.recordProbeAnswer(clock.nowMs()));
		} else {
			this.#recordStoreFailure(probe.error);
		}
	}

	async #watchStore(signal: AbortSignal): Promise<void> {
		// The replica has every change up to its revision, from wherever it got them.
		let afterRevision = this.items.revision === 0 ? undefined : this.items.revision;
		let backoffMs = initialBackoffMs;
		while (!signal.aborted) {
			const nextRevision: number | undefined = afterRevision === undefined ? await this.#readAll() : await this.#watchOnce(afterRevision, signal);
			if (signal.aborted) {
				return;
			}

			if (nextRevision === undefined) {
				afterRevision = undefined;
				await pause(backoffMs, signal);
				backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
				continue;
			}

			const hasChanged = nextRevision !== afterRevision;
			afterRevision = nextRevision;
			backoffMs = initialBackoffMs;
			if (hasChanged) {
				await pause(batchPauseMs, signal);
			}
		}
	}

	/** Waits for one set of changes. Returns the revision from which to continue, or `undefined` if all items have to be read again. */
	async #watchOnce(afterRevision: number, signal: AbortSignal): Promise<number | undefined> {
		const read = await this.#options.store.watchPrefix('', afterRevision, watchWaitMs, signal);
		if (signal.aborted) {
			return undefined;
		}

		if (!read.success) {
			this.#recordStoreFailure(read.error);
			return undefined;
		}

		this.#recordStoreResponse();
		const retainUntilMs = this.#retainUntilMs();
		const changes = read.data.changes.map((change): StoreChange => (change.kind === 'removed' ? {...change, retainUntilMs} : change));
		this.#propagateChanges(this.items.applyChanges(changes, read.data.revision), 'store');
		return read.data.revision;
	}

	/** Reads all items. Returns the revision from which to watch, or `undefined` if the store does not respond. */
	async #readAll(): Promise<number | undefined> {
		const {store, clock, logger} = this.#options;
		const startMs = clock.nowMs();
		const read = await store.list('');
		if (!read.success) {
			this.#recordStoreFailure(read.error);
			return undefined;
		}

		this.#recordStoreResponse();
		const {items, revision} = read.data;
		const changes = this.items.applyFullRead(items, revision, this.#retainUntilMs());
		logger.info('all items read from the store', {
			revision, items: items.length, changes: changes.length, tookMs: Math.round(clock.nowMs() - startMs),
		});
		this.#propagateChanges(changes, 'store');
		return revision;
	}

	#retainUntilMs(): number {
		return this.#options.outage.retainUntilMs(this.#options.clock.nowMs());
	}

	#recordStoreFailure(err: {readonly code: string; readonly message: string}): void {
		const {outage, logger, metrics, clock} = this.#options;
		metrics.count('store_failures', {code: err.code});
		if (err.code !== 'compacted' && outage.recordFailure(clock.nowMs())) {
			logger.warn('the store does not answer; what is known stays in force', {code: err.code, err: err.message, revision: this.items.revision});
		}
	}

	#recordStoreResponse(): void {
		const {outage, logger} = this.#options;
		if (outage.recordSuccess()) {
			logger.info('the store answers again', {revision: this.items.revision});
		}
	}
}

import {type Clock} from '../contracts/clock.js';
import {ItemPull} from '../contracts/item-pull.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type StoreChange} from '../contracts/store-change.js';
import {type ConfigKeeper} from '../decisions/config-keeper.js';
import {ItemReplica} from '../decisions/item-replica.js';
import {type StoreOutage} from '../decisions/store-outage.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {pause} from './pause.js';
import {type PeerClient} from './peer-client.js';

type ReplicaOptions = {
	readonly keeper: ConfigKeeper;
	readonly outage: StoreOutage;
	readonly clock: Clock;
	readonly store: PrefixStore;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly peerClient: PeerClient;
	/** Daemons to ask for the items when the store does not answer at start. */
	readonly seeds: readonly string[];
};

type Effects = ReturnType<ConfigKeeper['tick']>;
type ChangeListener = (changes: readonly StoreChange[], source: string) => void;

const tickMs = 200;
/** Longest wait of one watch, in milliseconds; a watch on a connection that went silent ends with it. */
const watchWaitMs = 3000;
/** Pause after a watch that brought changes, in milliseconds: changes in a row cost one call. */
const gatherMs = 150;
/** Time for which the start of the daemon waits for the first items, in milliseconds. */
const firstReadMs = 600;
/** Pauses between tries of a store that does not answer, in milliseconds. */
const firstRetryMs = 200;
const longestRetryMs = 400;
/** Interval of the tries of a host that has no items yet, in milliseconds. */
const bootstrapRetryMs = 400;

/** Keeps this host's copy of the store's items: from the store at a region's watchers, from peers elsewhere. */
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

	/** Whether the store failed to answer this host's latest call. */
	get isStoreAway(): boolean {
		return this.#options.outage.isAway;
	}

	/** Calls back with each set of changes. */
	onChange(listener: ChangeListener): void {
		this.#listeners.push(listener);
	}

	/** Reads the items, from the store or a seed, and goes on trying; comes back with the first of them or after a short time. */
	async start(lifecycle: Lifecycle): Promise<void> {
		lifecycle.own('store watch', () => {
			this.#isClosed = true;
			this.#watch?.abort();
		});
		await Promise.race([this.#bootstrap(), pause(firstReadMs)]);
	}

	/** Follows the members: watches the store if it falls to this host, and pulls from those that know more. */
	follow(members: MembersService, lifecycle: Lifecycle): void {
		const {keeper, clock} = this.#options;
		this.#members = members;
		members.run(members.membership.setRevision(this.items.revision));
		members.onRevision((revision, address) => {
			this.#run(keeper.heard(revision, address, clock.nowMs()));
		});
		lifecycle.every('replica tick', tickMs, () => {
			this.#run(keeper.tick(clock.nowMs(), members.membership.delegateRank()));
		});
	}

	/** Answers a peer that knows the changes up to a revision. */
	answerPull(haveRevision: number): ItemPull {
		const nowMs = this.#options.clock.nowMs();
		const {isWhole, items, removals} = this.items.since(haveRevision);
		return {
			revision: this.items.revision,
			isWhole,
			items: [...items],
			removals: removals.map(({key, revision, goneMs}) => [key, revision, Math.max(0, goneMs - nowMs)]),
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

	#run(effects: Effects): void {
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
			}
		}
	}

	async #pull(address: string): Promise<void> {
		const {peerClient, keeper, clock, logger, metrics} = this.#options;
		metrics.count('replica_pulls');
		try {
			const pull = ItemPull.parse(await peerClient.steering(address).items.mutate({haveRevision: this.items.revision}));
			const nowMs = clock.nowMs();
			const written = pull.items.map((item): StoreChange => ({kind: 'written', item}));
			const changes = pull.isWhole
				? this.items.replace(pull.items, pull.revision, nowMs)
				: this.items.apply([...written, ...pull.removals.map(([key, revision, holdMs]): StoreChange => ({
					kind: 'removed', key, revision, goneMs: nowMs + holdMs,
				}))]);
			this.#changed(changes, address);
			keeper.offer(Math.max(pull.revision, this.items.revision));
		} catch (err) {
			logger.debug('a peer did not send its items', {address, err: String(err)});
			this.#run(keeper.failed(address, clock.nowMs()));
		}
	}

	#changed(changes: readonly StoreChange[], source: string): void {
		const {keeper, metrics} = this.#options;
		if (changes.length === 0) {
			return;
		}

		metrics.count('replica_changes', {source: source === 'store' ? 'store' : 'peer'}, changes.length);
		for (const listener of this.#listeners) {
			listener(changes, source);
		}

		keeper.offer(this.items.revision);
		if (this.#members !== undefined) {
			this.#members.run(this.#members.membership.setRevision(this.items.revision));
		}
	}

	#setWatching(isWatching: boolean): void {
		this.#watch?.abort();
		this.#watch = undefined;
		if (isWatching && !this.#isClosed) {
			this.#watch = new AbortController();
			void this.#watchStore(this.#watch.signal);
		}
	}

	async #watchStore(signal: AbortSignal): Promise<void> {
		let after: number | undefined;
		let retryMs = firstRetryMs;
		while (!signal.aborted) {
			const next: number | undefined = after === undefined ? await this.#readAll() : await this.#watchOnce(after, signal);
			if (signal.aborted) {
				return;
			}

			if (next === undefined) {
				after = undefined;
				await pause(retryMs, signal);
				retryMs = Math.min(longestRetryMs, retryMs * 2);
				continue;
			}

			const isNews = next !== after;
			after = next;
			retryMs = firstRetryMs;
			if (isNews) {
				await pause(gatherMs, signal);
			}
		}
	}

	/** Waits for one set of changes; answers the revision to go on from, or `undefined` when all has to be read again. */
	async #watchOnce(after: number, signal: AbortSignal): Promise<number | undefined> {
		const read = await this.#options.store.watchPrefix('', after, watchWaitMs, signal);
		if (signal.aborted) {
			return undefined;
		}

		if (!read.success) {
			this.#noteFailure(read.error);
			return undefined;
		}

		this.#noteAnswer();
		const goneMs = this.#goneMs();
		const changes = read.data.changes.map((change): StoreChange => (change.kind === 'removed' ? {...change, goneMs} : change));
		this.#changed(this.items.apply(changes), 'store');
		return read.data.revision;
	}

	/** Reads every item; answers the revision from which to watch. */
	async #readAll(): Promise<number | undefined> {
		const read = await this.#options.store.list('');
		if (!read.success) {
			this.#noteFailure(read.error);
			return undefined;
		}

		this.#noteAnswer();
		this.#changed(this.items.replace(read.data.items, read.data.revision, this.#goneMs()), 'store');
		return read.data.revision;
	}

	#goneMs(): number {
		return this.#options.outage.goneMs(this.#options.clock.nowMs());
	}

	#noteFailure(err: {readonly code: string; readonly message: string}): void {
		const {outage, logger, metrics, clock} = this.#options;
		metrics.count('store_failures', {code: err.code});
		if (err.code !== 'compacted' && outage.failed(clock.nowMs())) {
			logger.warn('the store does not answer; what is known stays in force', {code: err.code, err: err.message, revision: this.items.revision});
		}
	}

	#noteAnswer(): void {
		const {outage, logger} = this.#options;
		if (outage.answered()) {
			logger.info('the store answers again', {revision: this.items.revision});
		}
	}
}

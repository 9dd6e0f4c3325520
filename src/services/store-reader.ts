import {type Clock} from '../contracts/clock.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type StoreChange} from '../contracts/store-change.js';
import {type StoreVersion} from '../contracts/store-version.js';
import {compareVersions} from '../decisions/compare-versions.js';
import {type ItemReplica} from '../decisions/item-replica.js';
import {type StoreOutage} from '../decisions/store-outage.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {pause} from './pause.js';

type ReaderOptions = {
	readonly store: PrefixStore;
	readonly items: ItemReplica;
	readonly outage: StoreOutage;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Called with the era that each response states, before anything in the response is used. */
	readonly onEra: (era: number) => void;
	/** Called with the changes that a response made, also if there are none, and the version on which what it contains follows. */
	readonly onChanges: (changes: readonly StoreChange[], since: StoreVersion) => void;
	/** Called at the start of each call that waits for changes. */
	readonly onWatch: () => void;
	/** Called when a response to a watch begins to arrive, and at the start of each full read. */
	readonly onProgress: () => void;
	/** Called after each full read and each watch: whether the store answered it, and whether with all items or changes of the present era. */
	readonly onRead: (isAnswered: boolean, isComplete: boolean) => void;
	/** Called after a full read of all items, with their era. */
	readonly onFullRead: (era: number) => void;
};

/** Maximum duration of one watch; it also bounds a watch on a connection that no longer delivers data. */
const watchWaitMs = 3000;
/** Pause after a watch that returned changes, so that consecutive changes are fetched with one call. */
const batchPauseMs = 150;
/** Bounds of the exponential backoff between retries while the store does not respond. */
const initialBackoffMs = 200;
const maxBackoffMs = 400;

/** Reads and watches the store's items for this host's replica. The era in each response decides whether it may be applied. */
export class StoreReader {
	readonly #options: ReaderOptions;
	#reading: Promise<StoreVersion | undefined> | undefined;

	constructor(options: ReaderOptions) {
		this.#options = options;
	}

	/** Probes the store; returns the era that it states, or `undefined` if it does not respond. */
	async ping(): Promise<number | undefined> {
		const probe = await this.#options.store.ping();
		if (!probe.success) {
			this.#recordFailure(probe.error);
			return undefined;
		}

		this.#recordResponse(probe.data.era);
		return probe.data.era;
	}

	/** Watches the store until the signal is aborted: from the replica's version, or after a full read if the replica is empty or `shouldReadFirst`. */
	async watch(shouldReadFirst: boolean, signal: AbortSignal): Promise<void> {
		const {items} = this.#options;
		// The replica has every change up to its version, from wherever it got them.
		let after = shouldReadFirst || items.revision === 0 ? undefined : items.version;
		let backoffMs = initialBackoffMs;
		while (!signal.aborted) {
			const next: StoreVersion | undefined = after === undefined ? await this.readAll() : await this.#watchOnce(after, signal);
			if (signal.aborted) {
				return;
			}

			if (next === undefined) {
				after = undefined;
				await pause(backoffMs, signal);
				backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
				continue;
			}

			const hasChanged = after === undefined || compareVersions(next, after) !== 0;
			after = next;
			backoffMs = initialBackoffMs;
			if (hasChanged) {
				await pause(batchPauseMs, signal);
			}
		}
	}

	/**
	 * Reads all items, or waits for a read in progress, since two of them would share the link. Returns the version from which to watch, or
	 * `undefined` if the store does not respond or the read is of an older era.
	 */
	async readAll(): Promise<StoreVersion | undefined> {
		this.#reading ??= this.#readOnce().finally(() => {
			this.#reading = undefined;
		});
		return this.#reading;
	}

	async #readOnce(): Promise<StoreVersion | undefined> {
		const {store, items, clock, logger, onRead, onChanges, onFullRead} = this.#options;
		const startMs = clock.nowMs();
		this.#options.onProgress();
		const read = await store.list('');
		onRead(read.success, read.success && read.data.era >= items.version.era);
		if (!read.success) {
			this.#recordFailure(read.error);
			return undefined;
		}

		const {revision, era} = read.data;
		this.#recordResponse(era);
		if (era < items.version.era) {
			this.#dropLateResponse('list', era);
			return undefined;
		}

		const since = items.version;
		const changes = items.applyFullRead(read.data.items, {era, revision}, this.#retainUntilMs());
		logger.info('all items read from the store', {
			era, revision, items: read.data.items.length, changes: changes.length, tookMs: Math.round(clock.nowMs() - startMs),
		});
		onFullRead(era);
		onChanges(changes, since);
		return {era, revision};
	}

	/** Waits for one set of changes. Returns the version from which to continue, or `undefined` if all items have to be read again. */
	async #watchOnce(after: StoreVersion, signal: AbortSignal): Promise<StoreVersion | undefined> {
		const {store, items, onWatch, onProgress, onRead, onChanges} = this.#options;
		onWatch();
		const read = await store.watchPrefix('', after.revision, watchWaitMs, signal, onProgress);
		if (signal.aborted) {
			return undefined;
		}

		onRead(read.success || read.error.code === 'compacted', read.success && read.data.era === after.era);
		if (!read.success) {
			if (read.error.code === 'compacted') {
				this.#recordResponse(read.error.era);
			}

			this.#recordFailure(read.error);
			return undefined;
		}

		const {era, revision, changes} = read.data;
		this.#recordResponse(era);
		if (era < after.era) {
			this.#dropLateResponse('watch', era);
			return undefined;
		}

		if (era > after.era) {
			// The changes follow a revision of this era, which says nothing about the items known from another one.
			return items.version.era === era ? items.version : undefined;
		}

		const retainUntilMs = this.#retainUntilMs();
		onChanges(items.applyChanges(changes.map((change): StoreChange => (change.kind === 'removed' ? {...change, retainUntilMs} : change)), {era, revision}), after);
		return items.version.era > era ? items.version : {era, revision};
	}

	#retainUntilMs(): number {
		return this.#options.outage.retainUntilMs(this.#options.clock.nowMs());
	}

	#dropLateResponse(call: string, era: number): void {
		const {logger, metrics, items} = this.#options;
		metrics.count('store_late_responses', {call});
		logger.limited('dropped a response of an older era of the store', {call, era, inForce: items.version.era}, 'warn');
	}

	#recordFailure(err: {readonly code: string; readonly message: string}): void {
		const {outage, logger, metrics, clock, items} = this.#options;
		metrics.count('store_failures', {code: err.code});
		if (err.code !== 'compacted' && outage.recordFailure(clock.nowMs())) {
			logger.warn('the store does not answer; what is known stays in force', {code: err.code, err: err.message, revision: items.revision});
		}
	}

	#recordResponse(era: number): void {
		const {outage, logger, items, onEra} = this.#options;
		if (outage.recordSuccess()) {
			logger.info('the store answers again', {revision: items.revision});
		}

		onEra(era);
	}
}

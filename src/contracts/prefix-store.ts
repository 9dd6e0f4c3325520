import {type Result} from '../result.js';
import {type Store} from './store.js';
import {type StoreItem} from './store-item.js';

type StoreError = Extract<Awaited<ReturnType<Store['get']>>, {success: false}>['error'];
/** `compacted`: the store no longer has the changes after the requested revision, or does not know that revision. */
type HistoryError = StoreError | {readonly code: 'compacted'; readonly message: string; readonly era: number};
/** `no_lease`: the lease has ended, and its keys are removed. */
type LeaseError = StoreError | {readonly code: 'no_lease'; readonly message: string; readonly era: number};
/** Era that the response states; 0 if it states none. */
type EraStatement = {readonly era: number};
/** `conflict`: the key has another revision than expected. */
type ConflictError = {readonly code: 'conflict'; readonly message: string};

/** Change of a key, as reported by the store. */
type StoreEvent = {readonly kind: 'written'; readonly item: StoreItem} | {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/**
 * Key-value store with one revision counter for all keys. Keys are read and watched by prefix, and may be bound to a lease. A store
 * that is restored from an earlier copy states a higher era from then on; revisions and leases of the era before mean nothing in it.
 */
export type PrefixStore = {
	/** Returns all items under a prefix, all of one era; `revision` is that of the store before the first item was read. */
	readonly list: (prefix: string) => Promise<Result<EraStatement & {readonly items: readonly StoreItem[]; readonly revision: number}, StoreError>>;
	/**
	 * Waits up to `waitMs` for changes after a revision; returns them and the revision from which to continue. They follow on the revision only if its era is the one returned.
	 * `onProgress` is called when the response begins to arrive, and may be called again while it does.
	 */
	readonly watchPrefix: (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal, onProgress?: () => void) =>
	Promise<Result<EraStatement & {readonly changes: readonly StoreEvent[]; readonly revision: number}, HistoryError>>;
	/** Makes the cheapest possible call, to find out whether the store answers. */
	readonly ping: () => Promise<Result<EraStatement, StoreError>>;
	/** Opens a lease; returns its id, and the time to live that the store grants. */
	readonly openLease: (ttlMs: number) => Promise<Result<EraStatement & {readonly leaseId: number; readonly ttlMs: number}, StoreError>>;
	/** Renews a lease; its time to live starts again when the store receives the call. */
	readonly renewLease: (leaseId: number) => Promise<Result<EraStatement, LeaseError>>;
	/** Ends a lease and removes its keys. */
	readonly endLease: (leaseId: number) => Promise<Result<EraStatement, LeaseError>>;
	/** Writes a key and binds it to a lease, whatever its earlier value. */
	readonly putLeased: (key: string, value: string, leaseId: number) => Promise<Result<EraStatement, LeaseError>>;
	/** Writes a key and binds it to a lease if its revision is the expected one; 0 if it does not exist. */
	readonly putLeasedIf: (write: {readonly key: string; readonly value: string; readonly leaseId: number; readonly expectedRevision: number}) =>
	Promise<Result<EraStatement, LeaseError | ConflictError>>;
	/** Removes a key if its revision is the expected one. */
	readonly removeIf: (key: string, expectedRevision: number) => Promise<Result<EraStatement, StoreError | ConflictError>>;
};

import {type Result} from '../result.js';
import {type Store} from './store.js';
import {type StoreItem} from './store-item.js';

type StoreError = Extract<Awaited<ReturnType<Store['get']>>, {success: false}>['error'];
/** `compacted`: the store no longer has the history that was asked for. */
type HistoryError = StoreError | {readonly code: 'compacted'; readonly message: string};
/** `no_lease`: the lease has ended, and the keys under it are gone. */
type LeaseError = StoreError | {readonly code: 'no_lease'; readonly message: string};

/** A change as the store tells it. */
type StoreEvent = {readonly kind: 'written'; readonly item: StoreItem} | {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/** A store with one revision counter for all keys, whose keys are read and watched by prefix and may hang on leases. */
export type PrefixStore = {
	/** All items under a prefix; `revision` is the store's before the first was read. */
	readonly list: (prefix: string) => Promise<Result<{readonly items: readonly StoreItem[]; readonly revision: number}, StoreError>>;
	/** Waits up to `waitMs` for changes after a revision; `revision` is where the next wait begins. */
	readonly watchPrefix: (prefix: string, after: number, waitMs: number, signal: AbortSignal) => Promise<Result<{readonly changes: readonly StoreEvent[]; readonly revision: number}, HistoryError>>;
	/** Opens a lease; answers its id. */
	readonly openLease: (ttlMs: number) => Promise<Result<{readonly leaseId: number}, StoreError>>;
	/** Renews a lease from the arrival of the call on. */
	readonly renewLease: (leaseId: number) => Promise<Result<undefined, LeaseError>>;
	/** Ends a lease and removes its keys. */
	readonly endLease: (leaseId: number) => Promise<Result<undefined, LeaseError>>;
	/** Writes a key under a lease, whatever it held. */
	readonly putLeased: (key: string, value: string, leaseId: number) => Promise<Result<undefined, LeaseError>>;
};

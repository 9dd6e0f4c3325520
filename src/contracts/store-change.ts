import {type StoreItem} from './store-item.js';

/**
 * Write or removal of a key. `retainUntilMs` is the time from which a removal counts, in monotonic milliseconds. It is later than the
 * removal if the key's lease may have expired only because the store was unavailable or lost it.
 *
 * Some values are not known to be newer than those before. `origin` is `restored` for a value read when a new era of the store was
 * entered, and `unordered` for a value of a host that does not state the era. `isLost` marks a key that a new era lacks.
 */
export type StoreChange =
	| {readonly kind: 'written'; readonly item: StoreItem; readonly origin?: 'restored' | 'unordered'}
	| {readonly kind: 'removed'; readonly key: string; readonly revision: number; readonly retainUntilMs: number; readonly isLost?: true};

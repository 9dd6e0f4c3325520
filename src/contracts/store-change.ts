import {type StoreItem} from './store-item.js';

/**
 * Write or removal of a key. `retainUntilMs` is the time from which a removal counts, in monotonic milliseconds. It is later than the
 * removal if the key's lease may have expired only because the store was unavailable.
 */
export type StoreChange =
	| {readonly kind: 'written'; readonly item: StoreItem}
	| {readonly kind: 'removed'; readonly key: string; readonly revision: number; readonly retainUntilMs: number};

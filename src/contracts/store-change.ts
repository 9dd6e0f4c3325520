import {type StoreItem} from './store-item.js';

/**
 * One change of a key: a write, or its removal. `goneMs` is the moment, in monotonic milliseconds, until which the key may only have
 * lapsed while the store was away.
 */
export type StoreChange =
	| {readonly kind: 'written'; readonly item: StoreItem}
	| {readonly kind: 'removed'; readonly key: string; readonly revision: number; readonly goneMs: number};

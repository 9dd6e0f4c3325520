import {type StoreItem} from './store-item.js';

/** One change of a key: a write, or its removal. */
export type StoreChange =
	| {readonly kind: 'written'; readonly item: StoreItem}
	| {readonly kind: 'removed'; readonly key: string; readonly revision: number};

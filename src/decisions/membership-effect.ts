import {type GossipMessage} from '../contracts/gossip-message.js';
import {type StoreVersion} from '../contracts/store-version.js';

/** What the membership protocol asks its service to do, or reports to it. */
export type MembershipEffect =
	| {readonly kind: 'send'; readonly address: string; readonly message: GossipMessage}
	/** Exchanges complete views with the daemon at this address. */
	| {readonly kind: 'sync'; readonly address: string}
	/** The view changed. */
	| {readonly kind: 'changed'}
	/** A peer reported a newer version, or one without an era to a process that knows the store's era. */
	| {readonly kind: 'revision'; readonly version: StoreVersion; readonly address: string}
	/** A part of the changes that lead up to `version`, as a watcher of the region encoded them; `address` is the watcher's, or else the sender's. */
	| {readonly kind: 'changes_part'; readonly origin: string; readonly address: string; readonly version: StoreVersion; readonly index: number; readonly count: number; readonly data: Uint8Array}
	/** The store has just answered a watcher of the region, which has this version and this position in the order of delegates. */
	| {readonly kind: 'store_contact'; readonly version: StoreVersion; readonly rank: number};

import {type StoreChange} from '../contracts/store-change.js';
import {type StoreItem} from '../contracts/store-item.js';

type Removal = StoreChange & {readonly kind: 'removed'};

/** Changes for a replica that is complete up to a revision of at least `sinceRevision`; afterwards it is complete up to `revision`. */
type ReplicaDelta = {
	readonly sinceRevision: number;
	readonly revision: number;
	/** All present items that were written after `sinceRevision`. */
	readonly items: readonly StoreItem[];
	/** Empty if `sinceRevision` is 0: then all keys that are not in `items` have been removed. */
	readonly removals: readonly Removal[];
};

/** Number of removals remembered for peers that have an older revision. */
const maxRemovals = 4096;

/**
 * Local copy of the store's items. The revision of a key only increases, in whatever order changes from a watch,
 * a full read and peers are received.
 */
export class ItemReplica {
	readonly #items = new Map<string, StoreItem>();
	readonly #removals = new Map<string, {readonly revision: number; readonly retainUntilMs: number}>();
	#revision = 0;
	/** Revision up to which removals may be unknown or have been discarded. */
	#compactedRevision = 0;

	/** Revision up to which the replica has every change; it may have some later ones. 0 before the first. */
	get revision(): number {
		return this.#revision;
	}

	/** Returns the items whose key starts with a prefix. */
	withPrefix(prefix: string): StoreItem[] {
		return [...this.#items.values()].filter(item => item.key.startsWith(prefix));
	}

	get(key: string): StoreItem | undefined {
		return this.#items.get(key);
	}

	/** Applies all changes of the store from the replica's revision or an earlier one up to `revision`; returns those that changed the replica. */
	applyChanges(changes: readonly StoreChange[], revision: number): StoreChange[] {
		const applied = this.#apply(changes);
		this.#revision = Math.max(this.#revision, revision);
		return applied;
	}

	/**
	 * Applies a full read of the store that began at `revision`: keys that it does not contain are removed, unless they are
	 * newer. Its pages are read one after the other, so that it contains some later changes, but not all. `retainUntilMs` has
	 * the same meaning as in `StoreChange`. Returns the changes made.
	 */
	applyFullRead(items: readonly StoreItem[], revision: number, retainUntilMs: number): StoreChange[] {
		const applied = this.#apply([...toWrites(items), ...this.#removalsOfUnlisted(items, revision, retainUntilMs)]);
		this.#compact(revision);
		return applied;
	}

	/** Applies the changes that a peer returned. `retainUntilMs` applies to removals that the peer does not list. Returns the changes made. */
	applyDelta({sinceRevision, revision, items, removals}: ReplicaDelta, retainUntilMs: number): StoreChange[] {
		const isWhole = sinceRevision === 0;
		const unlisted = isWhole ? this.#removalsOfUnlisted(items, revision, retainUntilMs) : [];
		const applied = this.#apply([...toWrites(items), ...removals, ...unlisted]);
		if (isWhole) {
			this.#compact(revision);
		} else if (sinceRevision <= this.#revision) {
			this.#revision = Math.max(this.#revision, revision);
		}

		return applied;
	}

	/** Returns the changes for a peer that is complete up to `revision`; all items if removals since then are unknown here. */
	deltaSince(revision: number): ReplicaDelta {
		const sinceRevision = revision < this.#compactedRevision ? 0 : revision;
		return {
			sinceRevision,
			revision: this.#revision,
			items: [...this.#items.values()].filter(item => item.revision > sinceRevision),
			removals: sinceRevision === 0
				? []
				: [...this.#removals].filter(([, removal]) => removal.revision > sinceRevision).map(([key, removal]) => ({kind: 'removed', key, ...removal})),
		};
	}

	#apply(changes: readonly StoreChange[]): StoreChange[] {
		return changes.filter(change => (change.kind === 'written' ? this.#write(change.item) : this.#remove(change)));
	}

	#write(item: StoreItem): boolean {
		if (item.revision <= this.#revisionOf(item.key)) {
			return false;
		}

		this.#removals.delete(item.key);
		this.#items.set(item.key, item);
		return true;
	}

	/** Remembers removals of unknown keys too: an older write may still be in transit, and peers may have the key. */
	#remove({key, revision, retainUntilMs}: Removal): boolean {
		if (revision < this.#revisionOf(key)) {
			return false;
		}

		const wasPresent = this.#items.delete(key);
		this.#removals.set(key, {revision, retainUntilMs});
		if (this.#removals.size > maxRemovals) {
			const [oldest] = this.#removals;
			this.#removals.delete(oldest![0]);
			this.#compactedRevision = Math.max(this.#compactedRevision, Math.min(oldest![1].revision, this.#revision));
		}

		return wasPresent;
	}

	/** Returns the revision of the latest known change of a key. A key without one was removed at the replica's revision or before. */
	#revisionOf(key: string): number {
		return this.#items.get(key)?.revision ?? this.#removals.get(key)?.revision ?? this.#revision;
	}

	#removalsOfUnlisted(items: readonly StoreItem[], revision: number, retainUntilMs: number): StoreChange[] {
		const listed = new Set(items.map(item => item.key));
		return [...this.#items.values()]
			.filter(item => !listed.has(item.key) && item.revision <= revision)
			.map((item): StoreChange => ({
				kind: 'removed', key: item.key, revision, retainUntilMs,
			}));
	}

	#compact(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
		this.#compactedRevision = Math.max(this.#compactedRevision, revision);
	}
}

function toWrites(items: readonly StoreItem[]): StoreChange[] {
	return items.map((item): StoreChange => ({kind: 'written', item}));
}

import {type StoreChange} from '../contracts/store-change.js';
import {type StoreItem} from '../contracts/store-item.js';

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
	/** Revision up to which removals may have been discarded: a key written up to it and not present here has been removed. */
	#compactedRevision = 0;

	/** Highest revision of all changes applied; 0 before the first. */
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

	/** Applies changes; returns those that changed the replica. */
	apply(changes: readonly StoreChange[]): StoreChange[] {
		return changes.filter(change => (change.kind === 'written' ? this.#write(change.item) : this.#remove(change)));
	}

	/**
	 * Applies a full read of the store that began at `revision`: keys that it does not contain are removed, unless they are
	 * newer. `retainUntilMs` has the same meaning as in `StoreChange`. Returns the changes made.
	 */
	applyFullRead(items: readonly StoreItem[], revision: number, retainUntilMs: number): StoreChange[] {
		const present = new Set(items.map(item => item.key));
		const written = items.map((item): StoreChange => ({kind: 'written', item}));
		const removed = [...this.#items.values()]
			.filter(item => !present.has(item.key) && item.revision <= revision)
			.map((item): StoreChange => ({
				kind: 'removed', key: item.key, revision, retainUntilMs,
			}));
		const changes = this.apply([...written, ...removed]);
		this.#compactedRevision = Math.max(this.#compactedRevision, revision);
		return changes;
	}

	/** Returns the changes after a peer's revision. If `isWhole` is set, the peer must remove all keys that are not listed. */
	changesSince(revision: number): {readonly isWhole: boolean; readonly items: readonly StoreItem[]; readonly removals: ReadonlyArray<StoreChange & {kind: 'removed'}>} {
		const isWhole = revision < this.#compactedRevision || revision === 0;
		return {
			isWhole,
			items: [...this.#items.values()].filter(item => isWhole || item.revision > revision),
			removals: isWhole
				? []
				: [...this.#removals].filter(([, removal]) => removal.revision > revision).map(([key, removal]) => ({kind: 'removed', key, ...removal})),
		};
	}

	#write(item: StoreItem): boolean {
		if (item.revision <= this.#revisionOf(item.key)) {
			return false;
		}

		this.#removals.delete(item.key);
		this.#items.set(item.key, item);
		this.#revision = Math.max(this.#revision, item.revision);
		return true;
	}

	/** Remembers removals of unknown keys too: an older write may still be in transit, and peers may have the key. */
	#remove({key, revision, retainUntilMs}: StoreChange & {kind: 'removed'}): boolean {
		if (revision < this.#revisionOf(key)) {
			return false;
		}

		const wasPresent = this.#items.delete(key);
		this.#removals.set(key, {revision, retainUntilMs});
		this.#revision = Math.max(this.#revision, revision);
		if (this.#removals.size > maxRemovals) {
			const [oldest] = this.#removals;
			this.#removals.delete(oldest![0]);
			this.#compactedRevision = Math.max(this.#compactedRevision, oldest![1].revision);
		}

		return wasPresent;
	}

	/** Returns the revision of the latest known change of a key. */
	#revisionOf(key: string): number {
		return this.#items.get(key)?.revision ?? this.#removals.get(key)?.revision ?? this.#compactedRevision;
	}
}

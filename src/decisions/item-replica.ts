import {type StoreChange} from '../contracts/store-change.js';
import {type StoreItem} from '../contracts/store-item.js';

/** Removals remembered for peers that are behind. */
const maxRemovals = 4096;

/**
 * This process's copy of the store's items. A key only ever goes to a higher revision, whatever the order in
 * which a watch, a whole read and peers bring their news.
 */
export class ItemReplica {
	readonly #items = new Map<string, StoreItem>();
	readonly #removals = new Map<string, {readonly revision: number; readonly goneMs: number}>();
	#revision = 0;
	/** Revision up to which removals may not be remembered: what was written up to it and is not here was removed. */
	#settledRevision = 0;

	/** Highest revision of any change known; 0 before the first. */
	get revision(): number {
		return this.#revision;
	}

	/** Items under a prefix. */
	under(prefix: string): StoreItem[] {
		return [...this.#items.values()].filter(item => item.key.startsWith(prefix));
	}

	get(key: string): StoreItem | undefined {
		return this.#items.get(key);
	}

	/** Takes in changes; answers those that were news. */
	apply(changes: readonly StoreChange[]): StoreChange[] {
		return changes.filter(change => (change.kind === 'written' ? this.#write(change.item) : this.#remove(change)));
	}

	/** Takes in a whole read that began at a revision: what it lacks was removed, unless it is newer; `goneMs` as in a change. */
	replace(items: readonly StoreItem[], revision: number, goneMs: number): StoreChange[] {
		const present = new Set(items.map(item => item.key));
		const written = items.map((item): StoreChange => ({kind: 'written', item}));
		const removed = [...this.#items.values()]
			.filter(item => !present.has(item.key) && item.revision <= revision)
			.map((item): StoreChange => ({
				kind: 'removed', key: item.key, revision, goneMs,
			}));
		const changes = this.apply([...written, ...removed]);
		this.#settledRevision = Math.max(this.#settledRevision, revision);
		return changes;
	}

	/** Changes that a peer lacks; `isWhole` when it has to drop every other key. */
	since(revision: number): {readonly isWhole: boolean; readonly items: readonly StoreItem[]; readonly removals: ReadonlyArray<StoreChange & {kind: 'removed'}>} {
		const isWhole = revision < this.#settledRevision || revision === 0;
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

	/** Removals of unknown keys are remembered too: an older write may still be on its way here, and peers may know the key. */
	#remove({key, revision, goneMs}: StoreChange & {kind: 'removed'}): boolean {
		if (revision < this.#revisionOf(key)) {
			return false;
		}

		const isNews = this.#items.delete(key);
		this.#removals.set(key, {revision, goneMs});
		this.#revision = Math.max(this.#revision, revision);
		if (this.#removals.size > maxRemovals) {
			const [oldest] = this.#removals;
			this.#removals.delete(oldest![0]);
			this.#settledRevision = Math.max(this.#settledRevision, oldest![1].revision);
		}

		return isNews;
	}

	/** Revision of the latest change of a key that is known here. */
	#revisionOf(key: string): number {
		return this.#items.get(key)?.revision ?? this.#removals.get(key)?.revision ?? this.#settledRevision;
	}
}

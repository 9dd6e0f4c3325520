import {type StoreChange} from '../contracts/store-change.js';
import {type StoreItem} from '../contracts/store-item.js';

type Removal = StoreChange & {readonly kind: 'removed'};

/** Range of revisions, without its start and with its end, in which keys may have been removed without a known removal. */
type Gap = {readonly afterRevision: number; readonly upToRevision: number};

/** Changes for a replica that is complete up to a revision of at least `sinceRevision`; afterwards it is complete up to `revision`. */
type ReplicaDelta = {
	readonly sinceRevision: number;
	readonly revision: number;
	/** All present items that were written after `sinceRevision`. */
	readonly items: readonly StoreItem[];
	readonly removals: readonly Removal[];
	/** Ranges with unknown removals: an item that was last written in one of them and is not in `items` has been removed. */
	readonly gaps: readonly Gap[];
};

/** Number of removals remembered for peers that have an older revision. */
const maxRemovals = 4096;
/** Number of separate gaps; further ones are joined with their neighbors. */
const maxGaps = 8;

/**
 * Local copy of the store's items. The revision of a key only increases, in whatever order changes from a watch,
 * a full read and peers are received.
 */
export class ItemReplica {
	readonly #items = new Map<string, StoreItem>();
	readonly #removals = new Map<string, {readonly revision: number; readonly retainUntilMs: number}>();
	/** Disjoint, in ascending order, and not above the revision. */
	#gaps: readonly Gap[] = [];
	#revision = 0;

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
		const listed = new Set(items.map(item => item.key));
		const removed = [...this.#items.values()]
			.filter(item => !listed.has(item.key) && item.revision <= revision)
			.map((item): StoreChange => ({
				kind: 'removed', key: item.key, revision, retainUntilMs,
			}));
		const applied = this.#apply([...toWrites(items), ...removed]);
		this.#advanceWithGaps(revision, [{afterRevision: 0, upToRevision: revision}]);
		return applied;
	}

	/** Applies the changes that a peer returned. `retainUntilMs` applies to removals that the peer does not know itself. Returns the changes made. */
	applyDelta({sinceRevision, revision, items, removals, gaps}: ReplicaDelta, retainUntilMs: number): StoreChange[] {
		const listed = new Set([...items, ...removals].map(change => change.key));
		const dropped = [...this.#items.values()].filter(item => !listed.has(item.key)).flatMap((item): StoreChange[] => {
			const gap = gaps.find(({afterRevision, upToRevision}) => item.revision > afterRevision && item.revision <= upToRevision);
			return gap === undefined
				? []
				: [{
					kind: 'removed', key: item.key, revision: gap.upToRevision, retainUntilMs,
				}];
		});
		const applied = this.#apply([...toWrites(items), ...removals, ...dropped]);
		if (sinceRevision <= this.#revision) {
			this.#advanceWithGaps(revision, gaps);
		}

		return applied;
	}

	/** Returns the changes for a peer that is complete up to `revision`; all items if removals since then are unknown here. */
	deltaSince(revision: number): ReplicaDelta {
		const gap = this.#gaps.find(({afterRevision, upToRevision}) => revision > afterRevision && revision < upToRevision);
		const sinceRevision = gap?.afterRevision ?? revision;
		const isWhole = sinceRevision === 0;
		return {
			sinceRevision,
			revision: this.#revision,
			items: [...this.#items.values()].filter(item => item.revision > sinceRevision),
			removals: isWhole
				? []
				: [...this.#removals].filter(([, removal]) => removal.revision > sinceRevision).map(([key, removal]) => ({kind: 'removed', key, ...removal})),
			gaps: isWhole
				? [{afterRevision: 0, upToRevision: this.#revision}]
				: this.#gaps.filter(({upToRevision}) => upToRevision > sinceRevision),
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
			this.#addGap({afterRevision: 0, upToRevision: Math.min(oldest![1].revision, this.#revision)});
		}

		return wasPresent;
	}

	/** Returns the revision of the latest known change of a key. A key without one was removed at the replica's revision or before. */
	#revisionOf(key: string): number {
		return this.#items.get(key)?.revision ?? this.#removals.get(key)?.revision ?? this.#revision;
	}

	/** Raises the revision; removals up to the previous revision are known, so that only the rest of each gap is added. */
	#advanceWithGaps(revision: number, gaps: readonly Gap[]): void {
		const previous = this.#revision;
		this.#revision = Math.max(previous, revision);
		for (const {afterRevision, upToRevision} of gaps) {
			this.#addGap({afterRevision: Math.max(afterRevision, previous), upToRevision});
		}
	}

	#addGap(gap: Gap): void {
		if (gap.upToRevision <= gap.afterRevision) {
			return;
		}

		const separate = this.#gaps.filter(other => other.upToRevision <= gap.afterRevision || other.afterRevision >= gap.upToRevision);
		const joined = [gap, ...this.#gaps.filter(other => !separate.includes(other))];
		this.#gaps = limitGaps([...separate, hull(joined)].toSorted((a, b) => a.afterRevision - b.afterRevision));
	}
}

function toWrites(items: readonly StoreItem[]): StoreChange[] {
	return items.map((item): StoreChange => ({kind: 'written', item}));
}

/** Returns the smallest range that contains all gaps. */
function hull(gaps: readonly Gap[]): Gap {
	return {
		afterRevision: Math.min(...gaps.map(gap => gap.afterRevision)),
		upToRevision: Math.max(...gaps.map(gap => gap.upToRevision)),
	};
}

/** Joins the oldest gaps into one if there are too many. */
function limitGaps(gaps: readonly Gap[]): readonly Gap[] {
	const excess = gaps.length - maxGaps;
	return excess > 0 ? [hull(gaps.slice(0, excess + 1)), ...gaps.slice(excess + 1)] : gaps;
}

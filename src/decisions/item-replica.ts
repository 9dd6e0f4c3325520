import {type StoreChange} from '../contracts/store-change.js';
import {type StoreItem} from '../contracts/store-item.js';
import {type StoreVersion} from '../contracts/store-version.js';

type Removal = StoreChange & {readonly kind: 'removed'};

/** Range of revisions, without its start and with its end, in which keys may have been removed without a known removal. */
type Gap = {readonly afterRevision: number; readonly upToRevision: number};

/**
 * Changes for a replica that is complete up to a revision of at least `sinceRevision` in the era of `version`, or for any replica if
 * `sinceRevision` is 0; afterwards it is complete up to `version`.
 */
type ReplicaDelta = {
	readonly sinceRevision: number;
	readonly version: StoreVersion;
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
 *
 * All items belong to one era of the store, since revisions of two eras cannot be ordered. A later era is entered only by a full read
 * or by all items of a peer, which replace what is known; changes of another era are ignored.
 */
export class ItemReplica {
	readonly #items = new Map<string, StoreItem>();
	readonly #removals = new Map<string, {readonly revision: number; readonly retainUntilMs: number}>();
	/** Disjoint, in ascending order, and not above the revision. */
	#gaps: readonly Gap[] = [];
	#version: StoreVersion = {era: 0, revision: 0};

	/** Revision up to which the replica has every change; it may have some later ones. 0 before the first. */
	get revision(): number {
		return this.#version.revision;
	}

	/** Revision of the replica, with the era that it belongs to. */
	get version(): StoreVersion {
		return this.#version;
	}

	/** Returns the items whose key starts with a prefix. */
	withPrefix(prefix: string): StoreItem[] {
		return [...this.#items.values()].filter(item => item.key.startsWith(prefix));
	}

	get(key: string): StoreItem | undefined {
		return this.#items.get(key);
	}

	/** Applies all changes of the store from the replica's revision or an earlier one of the same era up to `version`; returns those that changed the replica. */
	applyChanges(changes: readonly StoreChange[], version: StoreVersion): StoreChange[] {
		if (version.era !== this.#version.era) {
			return [];
		}

		const applied = this.#apply(changes);
		this.#advanceWithGaps(version.revision, []);
		return applied;
	}

	/**
	 * Applies a full read of the store that began at `version`: keys that it does not contain are removed, unless they are
	 * newer. Its pages are read one after the other, so that it contains some later changes, but not all. `retainUntilMs` has
	 * the same meaning as in `StoreChange`. Returns the changes made. A read of an older era is ignored.
	 */
	applyFullRead(items: readonly StoreItem[], version: StoreVersion, retainUntilMs: number): StoreChange[] {
		if (version.era !== this.#version.era) {
			return version.era < this.#version.era ? [] : this.#enterEra(items, version, retainUntilMs);
		}

		const {revision} = version;
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

	/**
	 * Applies the changes that a peer returned. `retainUntilMs` applies to removals that the peer does not know itself. Returns the
	 * changes made. Changes of an older era are ignored, and those of a newer one unless they are all items.
	 */
	applyDelta({sinceRevision, version, items, removals, gaps}: ReplicaDelta, retainUntilMs: number): StoreChange[] {
		if (version.era !== this.#version.era) {
			return version.era < this.#version.era || sinceRevision > 0 ? [] : this.#enterEra(items, version, retainUntilMs);
		}

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
		if (sinceRevision <= this.#version.revision) {
			this.#advanceWithGaps(version.revision, gaps);
		}

		return applied;
	}

	/** Returns the changes for a peer that is complete up to a version; all items if removals since then are unknown here, or if it is of another era. */
	deltaSince({era, revision: peerRevision}: StoreVersion): ReplicaDelta {
		const revision = era === this.#version.era ? peerRevision : 0;
		const gap = this.#gaps.find(({afterRevision, upToRevision}) => revision > afterRevision && revision < upToRevision);
		const sinceRevision = gap?.afterRevision ?? revision;
		const isWhole = sinceRevision === 0;
		return {
			sinceRevision,
			version: this.#version,
			items: [...this.#items.values()].filter(item => item.revision > sinceRevision),
			removals: isWhole
				? []
				: [...this.#removals].filter(([, removal]) => removal.revision > sinceRevision).map(([key, removal]) => ({kind: 'removed', key, ...removal})),
			gaps: isWhole
				? [{afterRevision: 0, upToRevision: this.#version.revision}]
				: this.#gaps.filter(({upToRevision}) => upToRevision > sinceRevision),
		};
	}

	/**
	 * Replaces the items by those of a later era. What the era before removed may be present again, and what it wrote may be missing; values
	 * that are the same are no changes.
	 */
	#enterEra(items: readonly StoreItem[], version: StoreVersion, retainUntilMs: number): StoreChange[] {
		const isFirst = this.#version.revision === 0;
		const known = new Map(this.#items);
		this.#items.clear();
		this.#removals.clear();
		this.#version = version;
		this.#gaps = [];
		this.#addGap({afterRevision: 0, upToRevision: version.revision});
		const written: StoreChange[] = [];
		for (const item of items) {
			this.#items.set(item.key, item);
			if (known.get(item.key)?.value !== item.value) {
				written.push({kind: 'written', item, ...(!isFirst && {origin: 'restored'})});
			}
		}

		const missing = [...known.keys()].filter(key => !this.#items.has(key)).map((key): StoreChange => ({
			kind: 'removed', key, revision: version.revision, retainUntilMs, isLost: true,
		}));
		return [...written, ...missing];
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
			this.#addGap({afterRevision: 0, upToRevision: Math.min(oldest![1].revision, this.#version.revision)});
		}

		return wasPresent;
	}

	/** Returns the revision of the latest known change of a key. A key without one was removed at the replica's revision or before. */
	#revisionOf(key: string): number {
		return this.#items.get(key)?.revision ?? this.#removals.get(key)?.revision ?? this.#version.revision;
	}

	/** Raises the revision; removals up to the previous revision are known, so that only the rest of each gap is added. */
	#advanceWithGaps(revision: number, gaps: readonly Gap[]): void {
		const previous = this.#version.revision;
		this.#version = {...this.#version, revision: Math.max(previous, revision)};
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

type Item = {readonly key: string; readonly value: string; readonly revision: number; readonly created: number; readonly lease_id: number};
type Event = Item | {readonly key: string; readonly revision: number; readonly deleted: true};
type Lease = {readonly ttlMs: number; readonly expiresMs: number};
type State = {
	readonly items: ReadonlyMap<string, Item>;
	readonly leases: ReadonlyMap<number, Lease>;
	readonly history: readonly Event[];
	readonly compactedRevision: number;
	readonly revision: number;
	readonly nextLeaseId: number;
};

/** Contents of the key-value store stand-in: items, leases and the history of changes, which can be copied and restored. */
export class KvContents {
	readonly #onChange: () => void;
	#items = new Map<string, Item>();
	#leases = new Map<number, Lease>();
	#history: Event[] = [];
	#compactedRevision = 0;
	#revision = 1;
	#nextLeaseId = 1;

	/** `onChange` is called after each change of the history. */
	constructor(onChange: () => void) {
		this.#onChange = onChange;
	}

	get revision(): number {
		return this.#revision;
	}

	get items(): readonly Item[] {
		return [...this.#items.values()];
	}

	get(key: string): Item | undefined {
		return this.#items.get(key);
	}

	put(key: string, value: string, leaseId: number): number {
		this.#revision++;
		const item: Item = {
			key, value, revision: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease_id: leaseId,
		};
		this.#items.set(key, item);
		this.#recordEvent(item);
		return this.#revision;
	}

	remove(key: string): void {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#recordEvent({key, revision: this.#revision, deleted: true});
		}
	}

	/** Returns the changes after a revision under a prefix, or `undefined` if they were compacted. */
	eventsAfter(revision: number, prefix: string): Event[] | undefined {
		return revision < this.#compactedRevision ? undefined : this.#history.filter(event => event.revision > revision && event.key.startsWith(prefix));
	}

	compact(): void {
		this.#history = [];
		this.#compactedRevision = this.#revision;
		this.#onChange();
	}

	openLease(ttlMs: number, nowMs: number): number {
		const leaseId = this.#nextLeaseId++;
		this.#leases.set(leaseId, {ttlMs, expiresMs: nowMs + ttlMs});
		return leaseId;
	}

	hasLease(id: number): boolean {
		return this.#leases.has(id);
	}

	/** Renews a lease and returns its time to live, or `undefined` if it is unknown. */
	renewLease(id: number, nowMs: number): number | undefined {
		const lease = this.#leases.get(id);
		if (lease !== undefined) {
			this.#leases.set(id, {...lease, expiresMs: nowMs + lease.ttlMs});
		}

		return lease?.ttlMs;
	}

	/** Ends a lease and removes its keys. */
	endLease(id: number): void {
		this.#leases.delete(id);
		for (const item of this.items.filter(item => item.lease_id === id)) {
			this.remove(item.key);
		}
	}

	expireLeases(nowMs: number): void {
		for (const [id, lease] of this.#leases) {
			if (nowMs >= lease.expiresMs) {
				this.endLease(id);
			}
		}
	}

	copy(): State {
		return {
			items: new Map(this.#items),
			leases: new Map(this.#leases),
			history: [...this.#history],
			compactedRevision: this.#compactedRevision,
			revision: this.#revision,
			nextLeaseId: this.#nextLeaseId,
		};
	}

	/** Restores a copy; all changes, leases and revisions since then are gone. */
	restore({items, leases, history, compactedRevision, revision, nextLeaseId}: State): void {
		this.#items = new Map(items);
		this.#leases = new Map(leases);
		this.#history = [...history];
		this.#compactedRevision = compactedRevision;
		this.#revision = revision;
		this.#nextLeaseId = nextLeaseId;
	}

	#recordEvent(event: Event): void {
		this.#history.push(event);
		this.#onChange();
	}
}

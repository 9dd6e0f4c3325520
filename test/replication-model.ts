import {expect} from 'vitest';
import {type StoreChange} from '../src/contracts/store-change.js';
import {type StoreItem} from '../src/contracts/store-item.js';
import {ItemReplica} from '../src/decisions/item-replica.js';

type Operation =
	| {readonly kind: string; readonly key: string}
	| {readonly kind: string; readonly host: number; readonly from?: number};

type Host = {
	readonly replica: ItemReplica;
	/** Revision from which the next watch continues. */
	watchedRevision: number | undefined;
	/** Full read whose first page has been received. */
	read: {readonly revision: number; readonly items: readonly StoreItem[]} | undefined;
	/** Response to a pull that has not been received yet. */
	pulled: ReturnType<ItemReplica['deltaSince']> | undefined;
};

const firstPageKeys = new Set(['a', 'b']);

/** Test model of a store and of four hosts with replicas; the first two of them watch the store and read it in two pages. */
export class ReplicationModel {
	readonly #history: StoreChange[] = [];
	readonly #hosts: readonly Host[] = Array.from({length: 4}, () => ({
		replica: new ItemReplica(), watchedRevision: undefined, read: undefined, pulled: undefined,
	}));

	/** Runs one operation; those that are not possible in the present state do nothing. */
	run(operation: Operation): void {
		if ('key' in operation) {
			this.#change(operation.kind, operation.key);
			return;
		}

		const host = this.#hosts[operation.host]!;
		switch (operation.kind) {
			case 'beginRead': {
				host.read = {revision: this.#revision, items: this.#present().filter(item => firstPageKeys.has(item.key))};
				break;
			}

			case 'endRead': {
				this.#endRead(host);
				break;
			}

			case 'watch': {
				this.#watch(host);
				break;
			}

			case 'pull': {
				const source = this.#hosts[operation.from ?? 0]!.replica;
				host.pulled ??= source.revision > host.replica.revision ? source.deltaSince(host.replica.revision) : undefined;
				break;
			}

			default: {
				this.#receive(host);
			}
		}
	}

	/** Brings all hosts up to date: the first one watches the store, and the others pull from it. */
	settle(): void {
		const [watcher] = this.#hosts;
		this.#change('write', 'a');
		if (watcher!.watchedRevision === undefined) {
			this.run({kind: 'beginRead', host: 0});
			this.run({kind: 'endRead', host: 0});
		}

		this.#watch(watcher!);
		for (const [host] of this.#hosts.entries()) {
			this.run({kind: 'receive', host});
			this.run({kind: 'pull', host, from: 0});
			this.run({kind: 'receive', host});
		}
	}

	/** Fails if a replica lacks a change up to its revision. */
	expectCompleteReplicas(): void {
		for (const {replica} of this.#hosts) {
			const known = this.#present(replica.revision);
			for (const item of known) {
				const isRemovedLater = this.#history.some(change => change.kind === 'removed' && change.key === item.key && change.revision > replica.revision);
				expect(isRemovedLater || (replica.get(item.key)?.revision ?? 0) >= item.revision, `${item.key} at revision ${replica.revision}`).toBe(true);
			}

			const keys = new Set(known.map(item => item.key));
			const extra = replica.withPrefix('').filter(item => !keys.has(item.key) && item.revision <= replica.revision);
			expect(extra).toEqual([]);
		}
	}

	/** Fails unless all replicas have the items of the store. */
	expectEqualReplicas(): void {
		for (const {replica} of this.#hosts) {
			expect(replica.withPrefix('').toSorted((a, b) => a.revision - b.revision)).toEqual(this.#present().toSorted((a, b) => a.revision - b.revision));
		}
	}

	get #revision(): number {
		return this.#history.length;
	}

	/** Returns the items present in the store at a revision. */
	#present(revision = this.#revision): StoreItem[] {
		const items = new Map<string, StoreItem>();
		for (const change of this.#history.slice(0, revision)) {
			if (change.kind === 'written') {
				items.set(change.item.key, change.item);
			} else {
				items.delete(change.key);
			}
		}

		return [...items.values()];
	}

	#change(kind: string, key: string): void {
		const revision = this.#revision + 1;
		if (kind === 'write') {
			this.#history.push({kind: 'written', item: {key, value: `${key}@${revision}`, revision}});
		} else if (this.#present().some(item => item.key === key)) {
			this.#history.push({
				kind: 'removed', key, revision, retainUntilMs: 0,
			});
		}
	}

	#endRead(host: Host): void {
		if (host.read === undefined) {
			return;
		}

		const {revision, items} = host.read;
		const secondPage = this.#present().filter(item => !firstPageKeys.has(item.key));
		host.replica.applyFullRead([...items, ...secondPage], revision, 0);
		host.watchedRevision = revision;
		host.read = undefined;
	}

	#watch(host: Host): void {
		if (host.watchedRevision !== undefined) {
			host.replica.applyChanges(this.#history.slice(host.watchedRevision), this.#revision);
			host.watchedRevision = this.#revision;
		}
	}

	#receive(host: Host): void {
		if (host.pulled !== undefined) {
			host.replica.applyDelta(host.pulled, 0);
			host.pulled = undefined;
		}
	}
}

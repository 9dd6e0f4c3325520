import {expect} from 'vitest';
import {type StoreChange} from '../src/contracts/store-change.js';
import {type StoreItem} from '../src/contracts/store-item.js';
import {type StoreVersion} from '../src/contracts/store-version.js';
import {compareVersions} from '../src/decisions/compare-versions.js';
import {ItemReplica} from '../src/decisions/item-replica.js';

type Operation =
	| {readonly kind: string; readonly key: string}
	| {readonly kind: string; readonly lost: number}
	| {readonly kind: string; readonly host: number; readonly from?: number};

type Host = {
	readonly replica: ItemReplica;
	/** Version from which the next watch continues. */
	watched: StoreVersion | undefined;
	/** Full read whose first page has been received. */
	read: {readonly version: StoreVersion; readonly items: readonly StoreItem[]} | undefined;
	/** Response to a pull that has not been received yet. */
	pulled: ReturnType<ItemReplica['deltaSince']> | undefined;
};

const firstPageKeys = new Set(['a', 'b']);

/** Test model of a store that may be restored and of four hosts with replicas; the first two of them watch the store and read it in two pages. */
export class ReplicationModel {
	/** Changes of each era; a restore begins the next one with the first changes of the era before. */
	readonly #histories: StoreChange[][] = [[]];
	readonly #hosts: readonly Host[] = Array.from({length: 4}, () => ({
		replica: new ItemReplica(), watched: undefined, read: undefined, pulled: undefined,
	}));

	/** Runs one operation; those that are not possible in the present state do nothing. */
	run(operation: Operation): void {
		if ('key' in operation) {
			this.#change(operation.kind, operation.key);
			return;
		}

		if ('lost' in operation) {
			this.#histories.push(this.#history.slice(0, Math.max(0, this.#history.length - operation.lost)));
			return;
		}

		const host = this.#hosts[operation.host]!;
		switch (operation.kind) {
			case 'beginRead': {
				host.read = {version: this.#version, items: this.#present().filter(item => firstPageKeys.has(item.key))};
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
				host.pulled ??= compareVersions(source.version, host.replica.version) > 0 ? source.deltaSince(host.replica.version) : undefined;
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
		if (watcher!.watched?.era !== this.#version.era) {
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
			const history = this.#histories[replica.version.era]!;
			const known = present(history, replica.revision);
			for (const item of known) {
				const isRemovedLater = history.some(change => change.kind === 'removed' && change.key === item.key && change.revision > replica.revision);
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

	get #history(): StoreChange[] {
		return this.#histories.at(-1)!;
	}

	get #version(): StoreVersion {
		return {era: this.#histories.length - 1, revision: this.#history.length};
	}

	/** Returns the items present in the store. */
	#present(): StoreItem[] {
		return present(this.#history, this.#history.length);
	}

	#change(kind: string, key: string): void {
		const revision = this.#history.length + 1;
		if (kind === 'write') {
			this.#history.push({kind: 'written', item: {key, value: `${key}@${revision} of era ${this.#version.era}`, revision}});
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

		// The client reads again if the store was restored between two pages.
		const {version, items} = host.read;
		if (version.era !== this.#version.era) {
			host.read = undefined;
			return;
		}

		const secondPage = this.#present().filter(item => !firstPageKeys.has(item.key));
		host.replica.applyFullRead([...items, ...secondPage], version, 0);
		host.watched = version;
		host.read = undefined;
	}

	#watch(host: Host): void {
		// Changes of another era than that of the revision from which the watch started are not applied; a full read follows.
		if (host.watched?.era === this.#version.era) {
			host.replica.applyChanges(this.#history.slice(host.watched.revision), this.#version);
			host.watched = this.#version;
		}
	}

	#receive(host: Host): void {
		if (host.pulled !== undefined) {
			host.replica.applyDelta(host.pulled, 0);
			host.pulled = undefined;
		}
	}
}

/** Returns the items present after the changes up to a revision. */
function present(history: readonly StoreChange[], revision: number): StoreItem[] {
	const items = new Map<string, StoreItem>();
	for (const change of history.slice(0, revision)) {
		if (change.kind === 'written') {
			items.set(change.item.key, change.item);
		} else {
			items.delete(change.key);
		}
	}

	return [...items.values()];
}

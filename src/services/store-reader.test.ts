import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type StoreItem} from '../contracts/store-item.js';
import {ItemReplica} from '../decisions/item-replica.js';
import {StoreOutage} from '../decisions/store-outage.js';
import {type Logger} from './logger.js';
import {Metrics} from './metrics.js';
import {StoreReader} from './store-reader.js';

type WatchResult = Awaited<ReturnType<PrefixStore['watchPrefix']>>;

const itemAt = (key: string, revision: number): StoreItem => ({key, value: `${key}@${revision}`, revision});
const at = (revision: number, era: number) => ({era, revision});

describe('StoreReader', () => {
	let items: ItemReplica;
	let reader: StoreReader;
	/** State that a full read returns. */
	let listed: {readonly items: readonly StoreItem[]; readonly revision: number; readonly era: number};
	/** Responses to the watches; the last one ends the test's watch. */
	let responses: Array<() => WatchResult>;
	let watchedFrom: number[];
	let eras: number[];
	let abort: AbortController;
	let lists: number;
	let reads: boolean[];
	let completions: boolean[];
	const changes = (era: number, revision: number, ...written: StoreItem[]): WatchResult => ({success: true, data: {era, revision, changes: written.map(item => ({kind: 'written', item}))}});

	beforeEach(() => {
		items = new ItemReplica();
		items.applyFullRead([itemAt('a', 80)], at(100, 1), 0);
		[watchedFrom, eras, abort, lists, reads, completions] = [[], [], new AbortController(), 0, [], []];
		const ignore = () => undefined;
		reader = new StoreReader({
			store: {
				async list() {
					lists++;
					return {success: true, data: listed};
				},
				async watchPrefix(_prefix: string, afterRevision: number) {
					watchedFrom.push(afterRevision);
					const respond = responses.shift();
					if (respond === undefined) {
						abort.abort();
						return changes(0, 0);
					}

					return respond();
				},
			} as unknown as PrefixStore,
			items,
			outage: new StoreOutage(0),
			clock: {nowMs: () => 1000},
			logger: {info: ignore, warn: ignore, limited: ignore} as unknown as Logger,
			metrics: new Metrics(),
			onEra(era) {
				eras.push(era);
			},
			onRead(isAnswered, isComplete) {
				reads.push(isAnswered);
				completions.push(isComplete);
			},
			onChanges: ignore,
			onFullRead: ignore,
			onProgress: ignore,
			onWatch: ignore,
		});
	});

	// Guards against a host that takes what it knows for the latest because of a response of another era, which it does not apply.
	it('does not count a response of another era as complete', async () => {
		listed = {...at(130, 2), items: []};
		responses = [() => changes(2, 130), () => changes(2, 130), () => changes(1, 140)];
		await reader.watch(false, abort.signal);
		expect(completions.slice(0, 4)).toEqual([false, true, true, false]);
	});

	it('applies no changes that follow its revision in another era, and reads all items', async () => {
		listed = {...at(130, 2), items: [itemAt('b', 40), itemAt('c', 120)]};
		responses = [() => changes(2, 130, itemAt('c', 120))];
		await reader.watch(false, abort.signal);
		expect(items.withPrefix('').map(({key}) => key)).toEqual(['b', 'c']);
		expect([items.version, watchedFrom, eras[0]]).toEqual([at(130, 2), [100, 130], 2]);
	});

	it('reads all items if the store does not know its revision', async () => {
		listed = {...at(50, 2), items: [itemAt('b', 40)]};
		responses = [() => ({success: false, error: {code: 'compacted', message: '', era: 2}})];
		await reader.watch(false, abort.signal);
		expect([items.version, watchedFrom]).toEqual([at(50, 2), [100, 50]]);
	});

	it('tells which of its watches and reads the store answered, apart from probes', async () => {
		listed = {...at(130, 1), items: [itemAt('a', 80)]};
		responses = [() => changes(1, 101, itemAt('a', 101)), () => ({success: false, error: {code: 'throttled', message: ''}})];
		await reader.watch(false, abort.signal);
		expect(reads).toEqual([true, false, true]);
	});

	it('drops a late response of an older era, and goes on from what a peer delivered in the meantime', async () => {
		const peer = new ItemReplica();
		peer.applyFullRead([itemAt('b', 40)], at(50, 2), 0);
		responses = [() => {
			items.applyDelta(peer.deltaSince(items.version), 0);
			return changes(1, 101, itemAt('a', 101));
		}];
		await reader.watch(false, abort.signal);
		expect(items.withPrefix('')).toEqual([itemAt('b', 40)]);
		expect(watchedFrom).toEqual([100, 50]);
	});

	it('goes on from what a peer delivered if the store states that era too', async () => {
		const peer = new ItemReplica();
		peer.applyFullRead([itemAt('b', 40)], at(50, 2), 0);
		responses = [() => {
			items.applyDelta(peer.deltaSince(items.version), 0);
			return changes(2, 130, itemAt('c', 120));
		}, () => changes(2, 130, itemAt('c', 120))];
		await reader.watch(false, abort.signal);
		expect(items.withPrefix('')).toEqual([itemAt('b', 40), itemAt('c', 120)]);
		expect(watchedFrom).toEqual([100, 50, 130]);
	});

	// Guards against reads that begin again and again beside each other, which a narrow link then carries ever more slowly (RECOVER).
	it('makes one call for all reads that are asked for while one is in progress', async () => {
		listed = {...at(130, 1), items: [itemAt('a', 80)]};
		expect(await Promise.all([reader.readAll(), reader.readAll()])).toEqual([at(130, 1), at(130, 1)]);
		expect(lists).toBe(1);
		await reader.readAll();
		expect(lists).toBe(2);
	});

	it('drops a full read of an older era', async () => {
		items.applyFullRead([itemAt('b', 40)], at(50, 2), 0);
		listed = {...at(100, 1), items: [itemAt('a', 80)]};
		expect(await reader.readAll()).toBeUndefined();
		expect(items.withPrefix('')).toEqual([itemAt('b', 40)]);
	});
});

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type StoreChange} from '../contracts/store-change.js';
import {ItemReplica} from './item-replica.js';
import {StoreOutage} from './store-outage.js';

const written = (key: string, revision: number): StoreChange => ({kind: 'written', item: {key, value: `${key}@${revision}`, revision}});
const removed = (key: string, revision: number): StoreChange => ({kind: 'removed', key, revision});

describe('item replica', () => {
	it('ends in the store\'s state whatever the order and repetition of the news', () => {
		const history = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()), {minLength: 1, maxLength: 12});
		fc.assert(fc.property(history, fc.infiniteStream(fc.nat()), (steps, picks) => {
			const changes = steps.map(([key, isWrite], index) => (isWrite ? written(key, index + 1) : removed(key, index + 1)));
			const truth = new ItemReplica();
			truth.apply(changes);
			const replica = new ItemReplica();
			// Each key's writes arrive in any order; removals follow the writes that they remove, as each source keeps that order.
			replica.apply(changes);
			for (const pick of picks.take(20)) {
				replica.apply([changes[pick % changes.length]!]);
			}

			expect(replica.under('').map(item => item.value).toSorted()).toEqual(truth.under('').map(item => item.value).toSorted());
		}));
	});

	it('goes to no lower revision of a key', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 5)]);
		expect(replica.apply([written('a', 4), removed('a', 3)])).toEqual([]);
		expect(replica.get('a')?.revision).toBe(5);
	});

	it('does not bring back what was removed', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 5), removed('a', 7)]);
		expect(replica.apply([written('a', 6)])).toEqual([]);
		expect(replica.apply([written('a', 8)])).toHaveLength(1);
	});

	it('takes what a whole read lacks for removed, unless it is newer', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1), written('b', 9)]);
		replica.replace([], 5);
		expect(replica.under('').map(item => item.key)).toEqual(['b']);
	});

	it('brings a peer up to date with what it lacks', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1), written('b', 2)]);
		const peer = new ItemReplica();
		peer.replace(replica.since(0).items, replica.revision);
		replica.apply([removed('a', 3), written('c', 4)]);
		const delta = replica.since(peer.revision);
		expect(delta).toMatchObject({isWhole: false, items: [{key: 'c'}], removals: [['a', 3]]});
		peer.apply([...delta.items.map((item): StoreChange => ({kind: 'written', item})), ...delta.removals.map(([key, revision]) => removed(key, revision))]);
		expect(peer.under('').map(item => item.key).toSorted()).toEqual(['b', 'c']);
	});

	it('sends everything to a peer that knows nothing', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1)]);
		expect(replica.since(0)).toMatchObject({isWhole: true, items: [{key: 'a'}]});
	});
});

describe('store outage', () => {
	const options = {returnMs: 2300, wordMs: 10_000};

	it('keeps missing entries while the store is away and for a time after its return', () => {
		const outage = new StoreOutage(options);
		expect(outage.holdMs(0)).toBe(0);
		outage.failed();
		expect(outage.holdMs(5000)).toBe(10_000);
		outage.answered(6000);
		expect(outage.holdMs(6000)).toBe(2300);
		expect(outage.holdMs(8400)).toBe(0);
	});

	it('takes a peer\'s word for no longer than its bound', () => {
		const outage = new StoreOutage(options);
		outage.heard(1_000_000, 0);
		expect(outage.holdMs(0)).toBe(10_000);
	});

	it('keeps nothing when the store was never away', () => {
		const outage = new StoreOutage(options);
		outage.answered(100);
		expect(outage.holdMs(100)).toBe(0);
	});
});

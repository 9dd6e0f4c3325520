import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type StoreChange} from '../contracts/store-change.js';
import {ItemReplica} from './item-replica.js';
import {StoreOutage} from './store-outage.js';

const written = (key: string, revision: number): StoreChange => ({kind: 'written', item: {key, value: `${key}@${revision}`, revision}});
const removed = (key: string, revision: number): StoreChange => ({
	kind: 'removed', key, revision, goneMs: 0,
});

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

	it('ends in the store\'s state whatever order the answers of several peers come in', () => {
		const history = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()), {minLength: 1, maxLength: 8});
		const pulls = fc.array(fc.tuple(fc.nat(8), fc.nat(8)), {maxLength: 4});
		fc.assert(fc.property(history, pulls, fc.infiniteStream(fc.nat()), (steps, spans, picks) => {
			const changes = steps.map(([key, isWrite], index) => (isWrite ? written(key, index + 1) : removed(key, index + 1)));
			const peerAt = (revision: number) => {
				const peer = new ItemReplica();
				peer.apply(changes.slice(0, revision));
				return peer;
			};

			// What peers that know different parts of the history answer to pulls of different age.
			const answers = spans.map(([have, revision]) => {
				const {items, removals} = peerAt(Math.min(revision, changes.length)).since(Math.max(1, Math.min(have, revision)));
				return [...items.map((item): StoreChange => ({kind: 'written', item})), ...removals];
			});
			const replica = new ItemReplica();
			replica.apply(changes.slice(0, 1));
			const latest = peerAt(changes.length).since(1);
			const order = [...answers, [...latest.items.map((item): StoreChange => ({kind: 'written', item})), ...latest.removals]];
			for (const pick of picks.take(order.length)) {
				replica.apply(order.splice(pick % order.length, 1)[0]!);
			}

			const truth = peerAt(changes.length);
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

	it('does not take in what it heard to be removed before it knew of it', () => {
		const replica = new ItemReplica();
		replica.apply([removed('a', 7), written('b', 8)]);
		expect(replica.apply([written('a', 5)])).toEqual([]);
		expect(replica.since(6).removals).toMatchObject([{key: 'a', revision: 7}]);
	});

	it('takes what a whole read lacks for removed, unless it is newer', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1), written('b', 9)]);
		replica.replace([], 5, 0);
		expect(replica.under('').map(item => item.key)).toEqual(['b']);
	});

	it('brings a peer up to date with what it lacks', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1), written('b', 2)]);
		const peer = new ItemReplica();
		peer.replace(replica.since(0).items, replica.revision, 0);
		replica.apply([removed('a', 3), written('c', 4)]);
		const delta = replica.since(peer.revision);
		expect(delta).toMatchObject({isWhole: false, items: [{key: 'c'}], removals: [{key: 'a', revision: 3}]});
		peer.apply([...delta.items.map((item): StoreChange => ({kind: 'written', item})), ...delta.removals]);
		expect(peer.under('').map(item => item.key).toSorted()).toEqual(['b', 'c']);
	});

	it('sends everything to a peer that knows less than a whole read did, which tells no removals', () => {
		const replica = new ItemReplica();
		replica.replace([{key: 'b', value: 'b@8', revision: 8}], 8, 0);
		const peer = new ItemReplica();
		peer.apply([written('a', 5)]);
		const delta = replica.since(peer.revision);
		expect(delta.isWhole).toBe(true);
		peer.replace(delta.items, replica.revision, 0);
		expect(peer.get('a')).toBeUndefined();
	});

	it('takes nothing in that a whole read already lacked', () => {
		const replica = new ItemReplica();
		replica.replace([{key: 'b', value: 'b@8', revision: 8}], 8, 0);
		expect(replica.apply([written('a', 5)])).toEqual([]);
		expect(replica.apply([written('a', 9)])).toHaveLength(1);
	});

	it('sends everything to a peer that knows nothing', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1)]);
		expect(replica.since(0)).toMatchObject({isWhole: true, items: [{key: 'a'}]});
	});
});

describe('store outage', () => {
	it('keeps missing entries for a time after the last failure', () => {
		const outage = new StoreOutage(2200);
		outage.failed(5000);
		outage.failed(6000);
		expect(outage.answered()).toBe(true);
		expect(outage.goneMs(6100)).toBe(8200);
		expect(outage.goneMs(9000)).toBe(9000);
	});

	it('never keeps what was removed after the store\'s return for longer than the time', () => {
		fc.assert(fc.property(fc.array(fc.nat(5000), {minLength: 1}), fc.nat(5000), fc.nat(3000), (failures, pauseMs, delayMs) => {
			const outage = new StoreOutage(2200);
			let nowMs = 0;
			for (const gapMs of failures) {
				nowMs += gapMs;
				outage.failed(nowMs);
			}

			const removedMs = nowMs + pauseMs;
			outage.answered();
			expect(outage.goneMs(removedMs + delayMs)).toBeLessThanOrEqual(Math.max(removedMs + 2200, removedMs + delayMs));
		}));
	});

	it('keeps nothing when the store was never away', () => {
		const outage = new StoreOutage(2200);
		expect(outage.answered()).toBe(false);
		expect(outage.goneMs(100)).toBe(100);
	});
});

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type StoreChange} from '../contracts/store-change.js';
import {ItemReplica} from './item-replica.js';
import {StoreOutage} from './store-outage.js';

const written = (key: string, revision: number): StoreChange => ({kind: 'written', item: {key, value: `${key}@${revision}`, revision}});
const removed = (key: string, revision: number): StoreChange => ({
	kind: 'removed', key, revision, retainUntilMs: 0,
});

describe('item replica', () => {
	it('converges to the state of the store for any order and repetition of the changes', () => {
		const history = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()), {minLength: 1, maxLength: 12});
		fc.assert(fc.property(history, fc.infiniteStream(fc.nat()), (steps, picks) => {
			const changes = steps.map(([key, isWrite], index) => (isWrite ? written(key, index + 1) : removed(key, index + 1)));
			const truth = new ItemReplica();
			truth.apply(changes);
			const replica = new ItemReplica();
			// The changes arrive once in order, then repeatedly in any order: each source sends a removal after the write that it removes.
			replica.apply(changes);
			for (const pick of picks.take(20)) {
				replica.apply([changes[pick % changes.length]!]);
			}

			expect(replica.withPrefix('').map(item => item.value).toSorted()).toEqual(truth.withPrefix('').map(item => item.value).toSorted());
		}));
	});

	it('converges to the state of the store for any order of responses from several peers', () => {
		const history = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()), {minLength: 1, maxLength: 8});
		const pulls = fc.array(fc.tuple(fc.nat(8), fc.nat(8)), {maxLength: 4});
		fc.assert(fc.property(history, pulls, fc.infiniteStream(fc.nat()), (steps, pulledRevisions, picks) => {
			const changes = steps.map(([key, isWrite], index) => (isWrite ? written(key, index + 1) : removed(key, index + 1)));
			const peerAt = (revision: number) => {
				const peer = new ItemReplica();
				peer.apply(changes.slice(0, revision));
				return peer;
			};

			// Responses of peers that have applied different parts of the history, to pulls from different revisions.
			const responses = pulledRevisions.map(([have, revision]) => {
				const {items, removals} = peerAt(Math.min(revision, changes.length)).changesSince(Math.max(1, Math.min(have, revision)));
				return [...items.map((item): StoreChange => ({kind: 'written', item})), ...removals];
			});
			const replica = new ItemReplica();
			replica.apply(changes.slice(0, 1));
			const latest = peerAt(changes.length).changesSince(1);
			const order = [...responses, [...latest.items.map((item): StoreChange => ({kind: 'written', item})), ...latest.removals]];
			for (const pick of picks.take(order.length)) {
				replica.apply(order.splice(pick % order.length, 1)[0]!);
			}

			const truth = peerAt(changes.length);
			expect(replica.withPrefix('').map(item => item.value).toSorted()).toEqual(truth.withPrefix('').map(item => item.value).toSorted());
		}));
	});

	it('ignores changes that are older than the current revision of a key', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 5)]);
		expect(replica.apply([written('a', 4), removed('a', 3)])).toEqual([]);
		expect(replica.get('a')?.revision).toBe(5);
	});

	it('does not restore a removed key from an older write', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 5), removed('a', 7)]);
		expect(replica.apply([written('a', 6)])).toEqual([]);
		expect(replica.apply([written('a', 8)])).toHaveLength(1);
	});

	it('ignores an older write of a key whose removal was received first', () => {
		const replica = new ItemReplica();
		replica.apply([removed('a', 7), written('b', 8)]);
		expect(replica.apply([written('a', 5)])).toEqual([]);
		expect(replica.changesSince(6).removals).toMatchObject([{key: 'a', revision: 7}]);
	});

	it('removes keys that a full read does not contain, unless they are newer than the read', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1), written('b', 9)]);
		replica.applyFullRead([], 5, 0);
		expect(replica.withPrefix('').map(item => item.key)).toEqual(['b']);
	});

	it('returns only the changes that a peer has not seen', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1), written('b', 2)]);
		const peer = new ItemReplica();
		peer.applyFullRead(replica.changesSince(0).items, replica.revision, 0);
		replica.apply([removed('a', 3), written('c', 4)]);
		const delta = replica.changesSince(peer.revision);
		expect(delta).toMatchObject({isWhole: false, items: [{key: 'c'}], removals: [{key: 'a', revision: 3}]});
		peer.apply([...delta.items.map((item): StoreChange => ({kind: 'written', item})), ...delta.removals]);
		expect(peer.withPrefix('').map(item => item.key).toSorted()).toEqual(['b', 'c']);
	});

	it('returns all items to a peer that is older than the last full read, because a full read lists no removals', () => {
		const replica = new ItemReplica();
		replica.applyFullRead([{key: 'b', value: 'b@8', revision: 8}], 8, 0);
		const peer = new ItemReplica();
		peer.apply([written('a', 5)]);
		const delta = replica.changesSince(peer.revision);
		expect(delta.isWhole).toBe(true);
		peer.applyFullRead(delta.items, replica.revision, 0);
		expect(peer.get('a')).toBeUndefined();
	});

	it('ignores a write older than a full read that does not contain its key', () => {
		const replica = new ItemReplica();
		replica.applyFullRead([{key: 'b', value: 'b@8', revision: 8}], 8, 0);
		expect(replica.apply([written('a', 5)])).toEqual([]);
		expect(replica.apply([written('a', 9)])).toHaveLength(1);
	});

	it('returns all items to a peer that has no revision', () => {
		const replica = new ItemReplica();
		replica.apply([written('a', 1)]);
		expect(replica.changesSince(0)).toMatchObject({isWhole: true, items: [{key: 'a'}]});
	});
});

describe('store outage', () => {
	it('keeps missing entries for the reappearance time after the last failure', () => {
		const outage = new StoreOutage(2200);
		outage.recordFailure(5000);
		outage.recordFailure(6000);
		expect(outage.recordSuccess()).toBe(true);
		expect(outage.retainUntilMs(6100)).toBe(8200);
		expect(outage.retainUntilMs(9000)).toBe(9000);
	});

	it('never keeps an entry that was removed after the store recovered for longer than the reappearance time', () => {
		fc.assert(fc.property(fc.array(fc.nat(5000), {minLength: 1}), fc.nat(5000), fc.nat(3000), (failures, pauseMs, delayMs) => {
			const outage = new StoreOutage(2200);
			let nowMs = 0;
			for (const gapMs of failures) {
				nowMs += gapMs;
				outage.recordFailure(nowMs);
			}

			const removedMs = nowMs + pauseMs;
			outage.recordSuccess();
			expect(outage.retainUntilMs(removedMs + delayMs)).toBeLessThanOrEqual(Math.max(removedMs + 2200, removedMs + delayMs));
		}));
	});

	it('keeps no missing entries if no call has failed', () => {
		const outage = new StoreOutage(2200);
		expect(outage.recordSuccess()).toBe(false);
		expect(outage.retainUntilMs(100)).toBe(100);
	});
});

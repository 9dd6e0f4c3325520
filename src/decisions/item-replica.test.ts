import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type StoreChange} from '../contracts/store-change.js';
import {ReplicationModel} from '../../test/replication-model.js';
import {compareVersions} from './compare-versions.js';
import {ItemReplica} from './item-replica.js';
import {StoreOutage} from './store-outage.js';

const written = (key: string, revision: number): StoreChange & {kind: 'written'} => ({kind: 'written', item: {key, value: `${key}@${revision}`, revision}});
const removed = (key: string, revision: number): StoreChange => ({
	kind: 'removed', key, revision, retainUntilMs: 0,
});
const revisionOf = (change: StoreChange) => (change.kind === 'written' ? change.item.revision : change.revision);
const at = (revision: number, era = 0) => ({era, revision});
const applyAll = (replica: ItemReplica, changes: readonly StoreChange[]) => replica.applyChanges(changes, at(Math.max(...changes.map(change => revisionOf(change)))));
const keysOf = (replica: ItemReplica) => replica.withPrefix('').map(item => item.key).toSorted();
const valuesOf = (replica: ItemReplica) => replica.withPrefix('').map(item => item.value).toSorted();

/** Lets a peer pull the changes that it does not have, as it does when the other host reports a newer revision. */
function pull(peer: ItemReplica, from: ItemReplica): void {
	if (compareVersions(from.version, peer.version) > 0) {
		peer.applyDelta(from.deltaSince(peer.version), 0);
	}
}

describe('item replica', () => {
	it('converges to the state of the store for any order and repetition of the changes', () => {
		const history = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()), {minLength: 1, maxLength: 12});
		fc.assert(fc.property(history, fc.infiniteStream(fc.nat()), (steps, picks) => {
			const changes = steps.map(([key, isWrite], index) => (isWrite ? written(key, index + 1) : removed(key, index + 1)));
			const truth = new ItemReplica();
			applyAll(truth, changes);
			const replica = new ItemReplica();
			// The changes arrive once in order, then repeatedly in any order: each source sends a removal after the write that it removes.
			applyAll(replica, changes);
			for (const pick of picks.take(20)) {
				applyAll(replica, [changes[pick % changes.length]!]);
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
				peer.applyChanges(changes.slice(0, revision), at(revision));
				return peer;
			};

			// Responses of peers that have applied different parts of the history, to pulls from different revisions.
			const responses = pulledRevisions.map(([have, revision]) => peerAt(Math.min(revision, changes.length)).deltaSince(at(Math.max(1, Math.min(have, revision)))));
			const replica = new ItemReplica();
			replica.applyChanges(changes.slice(0, 1), at(1));
			const order = [...responses, peerAt(changes.length).deltaSince(at(1))];
			for (const pick of picks.take(order.length)) {
				replica.applyDelta(order.splice(pick % order.length, 1)[0]!, 0);
			}

			const truth = peerAt(changes.length);
			expect(replica.withPrefix('').map(item => item.value).toSorted()).toEqual(truth.withPrefix('').map(item => item.value).toSorted());
		}));
	});

	it('ignores changes that are older than the current revision of a key', () => {
		const replica = new ItemReplica();
		applyAll(replica, [written('a', 5)]);
		expect(applyAll(replica, [written('a', 4), removed('a', 3)])).toEqual([]);
		expect(replica.get('a')?.revision).toBe(5);
	});

	it('does not restore a removed key from an older write', () => {
		const replica = new ItemReplica();
		applyAll(replica, [written('a', 5), removed('a', 7)]);
		expect(applyAll(replica, [written('a', 6)])).toEqual([]);
		expect(applyAll(replica, [written('a', 8)])).toHaveLength(1);
	});

	it('ignores an older write of a key whose removal was received first', () => {
		const replica = new ItemReplica();
		applyAll(replica, [removed('a', 7), written('b', 8)]);
		expect(applyAll(replica, [written('a', 5)])).toEqual([]);
		expect(replica.deltaSince(at(6)).removals).toMatchObject([{key: 'a', revision: 7}]);
	});

	it('removes keys that a full read does not contain, unless they are newer than the read', () => {
		const replica = new ItemReplica();
		applyAll(replica, [written('a', 1), written('b', 9)]);
		replica.applyFullRead([], at(5), 0);
		expect(replica.withPrefix('').map(item => item.key)).toEqual(['b']);
	});

	it('returns only the changes that a peer has not seen', () => {
		const replica = new ItemReplica();
		applyAll(replica, [written('a', 1), written('b', 2)]);
		const peer = new ItemReplica();
		pull(peer, replica);
		applyAll(replica, [removed('a', 3), written('c', 4)]);
		const delta = replica.deltaSince(peer.version);
		expect(delta).toMatchObject({sinceRevision: 2, items: [{key: 'c'}], removals: [{key: 'a', revision: 3}]});
		peer.applyDelta(delta, 0);
		expect(peer.withPrefix('').map(item => item.key).toSorted()).toEqual(['b', 'c']);
	});

	it('returns all items to a peer that is older than the last full read, because a full read lists no removals', () => {
		const replica = new ItemReplica();
		replica.applyFullRead([{key: 'b', value: 'b@8', revision: 8}], at(8), 0);
		const peer = new ItemReplica();
		applyAll(peer, [written('a', 5)]);
		const delta = replica.deltaSince(peer.version);
		expect(delta.sinceRevision).toBe(0);
		peer.applyDelta(delta, 0);
		expect(peer.get('a')).toBeUndefined();
	});

	it('ignores a write older than a full read that does not contain its key', () => {
		const replica = new ItemReplica();
		replica.applyFullRead([{key: 'b', value: 'b@8', revision: 8}], at(8), 0);
		expect(applyAll(replica, [written('a', 5)])).toEqual([]);
		expect(applyAll(replica, [written('a', 9)])).toHaveLength(1);
	});

	it('has every change up to its revision, at each of several hosts that watch, read page by page and pull from each other, while the store is restored now and then', () => {
		const operation = fc.oneof(
			fc.record({kind: fc.constantFrom('write', 'remove'), key: fc.constantFrom('a', 'b', 'c', 'd')}),
			fc.record({kind: fc.constantFrom('beginRead', 'endRead', 'watch'), host: fc.nat(1)}),
			fc.record({kind: fc.constant('pull'), host: fc.nat(3), from: fc.nat(3)}),
			fc.record({kind: fc.constant('receive'), host: fc.nat(3)}),
			fc.record({kind: fc.constant('restore'), lost: fc.integer({min: 1, max: 6})}),
		);
		fc.assert(fc.property(fc.array(operation, {maxLength: 40}), operations => {
			const model = new ReplicationModel();
			for (const step of operations) {
				model.run(step);
				model.expectCompleteReplicas();
			}

			model.settle();
			model.expectEqualReplicas();
		}), {numRuns: 2000});
	});

	describe('after a full read whose pages were read at different revisions', () => {
		// The read began at revision 10. Its first page, with key a, precedes revision 11, and its second page, with key z, follows revision 12.
		const readPages = (replica: ItemReplica) => {
			replica.applyFullRead([written('a', 5).item, written('z', 12).item], at(10), 0);
		};

		it('passes on a write that the first page lacks to a peer that pulled before the watch returned it', () => {
			const [replica, peer] = [new ItemReplica(), new ItemReplica()];
			readPages(replica);
			pull(peer, replica);
			replica.applyChanges([written('a', 11), written('z', 12)], at(12));
			pull(peer, replica);
			expect(peer.get('a')?.revision).toBe(11);
		});

		it('passes on a removal that the first page lacks to a peer that pulled before the watch returned it', () => {
			const [replica, peer] = [new ItemReplica(), new ItemReplica()];
			readPages(replica);
			pull(peer, replica);
			replica.applyChanges([removed('a', 11), written('z', 12)], at(12));
			pull(peer, replica);
			expect(keysOf(peer)).toEqual(['z']);
		});

		it('accepts a key that was created between the pages', () => {
			const [replica, peer] = [new ItemReplica(), new ItemReplica()];
			readPages(replica);
			pull(peer, replica);
			peer.applyFullRead([written('a', 5).item, written('b', 11).item, written('z', 12).item], at(12), 0);
			expect(keysOf(peer)).toEqual(['a', 'b', 'z']);
		});
	});

	describe('after a full read that replaces a lost watch', () => {
		it('sends only the changes to a peer that was complete up to the revision before the read', () => {
			const [replica, peer] = [new ItemReplica(), new ItemReplica()];
			replica.applyFullRead([written('a', 5).item, written('b', 6).item, written('c', 7).item], at(10), 0);
			pull(peer, replica);
			replica.applyFullRead([written('b', 6).item, written('c', 14).item], at(15), 900);
			expect(replica.deltaSince(peer.version)).toMatchObject({
				sinceRevision: 10, items: [{key: 'c', revision: 14}], removals: [{key: 'a', revision: 15, retainUntilMs: 900}],
			});
			pull(peer, replica);
			expect(valuesOf(peer)).toEqual(['b@6', 'c@14']);
		});

		it('removes a key at a peer that received its write from elsewhere, but not its removal', () => {
			const [replica, peer] = [new ItemReplica(), new ItemReplica()];
			replica.applyFullRead([written('a', 5).item], at(10), 0);
			pull(peer, replica);
			peer.applyChanges([written('k', 12)], at(12));
			replica.applyFullRead([written('a', 5).item], at(15), 0);
			pull(peer, replica);
			expect(keysOf(peer)).toEqual(['a']);
		});
	});

	describe('after a restore of the store', () => {
		// Guards against a configuration that never comes into force because the era before had a higher revision of its key.
		it('takes over a value whose revision is below the one known from the era before', () => {
			const replica = new ItemReplica();
			replica.applyFullRead([written('a', 80).item], at(100, 1), 0);
			expect(replica.applyFullRead([{key: 'a', value: 'later', revision: 45}], at(50, 2), 0)).toMatchObject([{kind: 'written', item: {revision: 45}, origin: 'restored'}]);
			expect(replica.version).toEqual(at(50, 2));
		});

		it('reports no change for a value that the copy has too, and one that it lacks as lost', () => {
			const replica = new ItemReplica();
			replica.applyFullRead([written('a', 5).item, written('b', 80).item], at(100, 1), 0);
			expect(replica.applyFullRead([written('a', 5).item], at(50, 2), 900)).toEqual([{
				kind: 'removed', key: 'b', revision: 50, retainUntilMs: 900, isLost: true,
			}]);
		});

		it('takes back a key that was removed in the era before', () => {
			const replica = new ItemReplica();
			replica.applyFullRead([written('a', 5).item], at(10, 1), 0);
			replica.applyChanges([removed('a', 11)], at(11, 1));
			replica.applyFullRead([written('a', 5).item], at(10, 2), 0);
			expect(keysOf(replica)).toEqual(['a']);
		});

		it('drops late responses of the era before: a full read, changes, and all items of a peer', () => {
			const [replica, late] = [new ItemReplica(), new ItemReplica()];
			late.applyFullRead([written('b', 90).item], at(100, 1), 0);
			replica.applyFullRead([written('a', 5).item], at(10, 2), 0);
			expect(replica.applyFullRead([written('b', 90).item], at(100, 1), 0)).toEqual([]);
			expect(replica.applyChanges([written('b', 90)], at(100, 1))).toEqual([]);
			expect(replica.applyDelta(late.deltaSince(at(0)), 0)).toEqual([]);
			expect([keysOf(replica), replica.version]).toEqual([['a'], at(10, 2)]);
		});

		it('ignores changes of a later era, which follow on items that it does not have', () => {
			const [replica, peer] = [new ItemReplica(), new ItemReplica()];
			replica.applyFullRead([written('a', 5).item], at(10, 1), 0);
			peer.applyFullRead([], at(7, 2), 0);
			peer.applyChanges([written('b', 12)], at(12, 2));
			expect(replica.applyChanges([written('b', 12)], at(12, 2))).toEqual([]);
			expect(replica.applyDelta(peer.deltaSince(at(8, 2)), 0)).toEqual([]);
			expect([keysOf(replica), replica.version]).toEqual([['a'], at(10, 1)]);
		});

		it('sends all items to a peer of another era, whose revision it may have given out for other changes', () => {
			const [replica, peer] = [new ItemReplica(), new ItemReplica()];
			peer.applyFullRead([written('a', 5).item, written('b', 30).item], at(40, 1), 0);
			replica.applyFullRead([written('c', 20).item], at(35, 2), 0);
			replica.applyChanges([written('d', 45)], at(45, 2));
			expect(replica.deltaSince(peer.version)).toMatchObject({sinceRevision: 0, version: at(45, 2)});
			pull(peer, replica);
			expect(keysOf(peer)).toEqual(['c', 'd']);
		});
	});

	it('returns all items to a peer that has no revision', () => {
		const replica = new ItemReplica();
		applyAll(replica, [written('a', 1)]);
		expect(replica.deltaSince(at(0))).toMatchObject({sinceRevision: 0, items: [{key: 'a'}]});
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

	it('keeps entries that a new era lacks from the first contact to it or from the last failure, whichever is later', () => {
		const outage = new StoreOutage(2200);
		outage.recordNewEra(5000);
		expect([outage.retainUntilMs(5100), outage.eraRetainUntilMs(5100)]).toEqual([7200, 7200]);
		outage.recordFailure(6000);
		expect([outage.retainUntilMs(6100), outage.eraRetainUntilMs(6100)]).toEqual([8200, 7200]);
		outage.recordNewEra(6500);
		expect([outage.retainUntilMs(6600), outage.retainUntilMs(9000)]).toEqual([8700, 9000]);
	});

	it('keeps no missing entries if no call has failed', () => {
		const outage = new StoreOutage(2200);
		expect(outage.recordSuccess()).toBe(false);
		expect(outage.retainUntilMs(100)).toBe(100);
	});
});

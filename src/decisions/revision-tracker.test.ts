import fc from 'fast-check';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {StoreWatchModel} from '../../test/store-watch-model.js';
import {compareVersions} from './compare-versions.js';
import {RevisionTracker} from './revision-tracker.js';
import {SeededRandom} from './seeded-random.js';

/** Time within which hosts in touch with the store must know a change, from the store's acknowledgement. */
const drainMs = 2500;
const settleMs = 10_000;

function settled(options: ConstructorParameters<typeof StoreWatchModel>[0]): StoreWatchModel {
	const model = new StoreWatchModel(options);
	model.run(settleMs);
	return model;
}

/** Returns the hosts that reach the store and lack its latest change. */
function behind(model: StoreWatchModel): number[] {
	return model.connected().filter(index => compareVersions(model.hosts[index]!.tracker.version, model.version) < 0);
}

describe('RevisionTracker', () => {
	// Guards against requests to a draining instance by hosts that reach the store, while those that watch it do not (DRAIN).
	describe('with watchers that are cut off from the store', () => {
		it('brings a change to all other hosts of a region within the drain time', () => {
			const model = settled({hosts: 6, seed: 1});
			for (const index of model.watchers) {
				model.hosts[index]!.isCut = true;
			}

			model.run(200);
			model.revision++;
			model.run(drainMs);
			expect(model.connected()).toHaveLength(4);
			expect(behind(model)).toEqual([]);
		});

		it('brings a change to all hosts that reach the store within the drain time, whichever hosts do not, or have ended', () => {
			fc.assert(fc.property(fc.record({
				seed: fc.nat(10_000),
				hosts: fc.integer({min: 3, max: 12}),
				fates: fc.array(fc.constantFrom('sound', 'cut', 'ended'), {minLength: 12, maxLength: 12}),
				cutsWatchers: fc.boolean(),
				leadMs: fc.nat(3000),
			}), ({seed, hosts, fates, cutsWatchers, leadMs}) => {
				const model = settled({hosts, seed});
				const watchers = new Set(model.watchers);
				for (const [index, host] of model.hosts.entries()) {
					host.isCut = fates[index] === 'cut' || (cutsWatchers && watchers.has(index));
					if (fates[index] === 'ended' && !host.isCut) {
						model.network.kill(index);
					}
				}

				model.run(leadMs);
				model.revision++;
				model.run(drainMs);
				expect(behind(model)).toEqual([]);
			}), {numRuns: 60, seed: 29});
		});

		// Guards against hosts that reach the store and wait for watchers which it rejects, but whose cheap probes it answers (CONFIG).
		it.each([1, 5, 9])('brings a change to all other hosts within the drain time while the store answers only probes of the watchers, with seed %i', seed => {
			const model = settled({hosts: 6, seed});
			const rejected = model.watchers;
			for (const index of rejected) {
				model.hosts[index]!.isRejected = true;
			}

			model.run(200);
			model.revision++;
			model.run(drainMs);
			expect(behind(model)).toEqual([]);
			for (const index of rejected) {
				model.hosts[index]!.isRejected = false;
			}

			model.run(3000);
			expect(model.watchers).toEqual(rejected);
		});

		it('ends the substitutes\' watches once a designated watcher reaches the store again', () => {
			const model = settled({hosts: 6, seed: 2});
			const designated = model.watchers;
			for (const index of designated) {
				model.hosts[index]!.isCut = true;
			}

			model.run(5000);
			expect(model.watchers.length).toBeGreaterThan(designated.length);
			model.hosts[designated[0]!]!.isCut = false;
			model.run(2000);
			expect(model.watchers).toEqual(designated);
		});
	});

	it('lets only the designated watchers probe and watch the store while they reach it, with a fifth of the datagrams lost', () => {
		const model = settled({hosts: 12, seed: 3, loss: 0.2});
		const probesBefore = model.hosts.map(host => host.probes);
		model.run(20_000);
		const probing = [...model.hosts.keys()].filter(index => model.hosts[index]!.probes > probesBefore[index]! + 2);
		expect(probing).toEqual(model.watchers);
		expect(model.watchers).toHaveLength(2);
	});

	// Guards against requests by old configurations and to instances that left, sent by hosts which are busy and get changes late (CONFIG, DRAIN).
	describe('with hosts whose event loops are busy', () => {
		it.each([
			{hosts: 12, turnMs: 400}, {hosts: 39, turnMs: 400}, {hosts: 100, turnMs: 400}, {hosts: 100, turnMs: 200}, {hosts: 39, turnMs: 600},
		])('brings each of many changes in a row to all $hosts hosts within the drain time, with turns of $turnMs ms', ({hosts, turnMs}) => {
			expect(slowestChangeMs({hosts, seed: 7, turnMs})).toBeLessThanOrEqual(drainMs);
		});

		it.each([
			{hosts: 39, turnMs: 400}, {hosts: 100, turnMs: 400},
		])('brings them to all $hosts hosts within the drain time also if one datagram in twenty is lost', ({hosts, turnMs}) => {
			expect(slowestChangeMs({
				hosts, seed: 7, turnMs, loss: 0.05,
			})).toBeLessThanOrEqual(drainMs);
		});

		/** Returns the longest time until all hosts have one of the changes that follow one another at short intervals, in milliseconds. */
		function slowestChangeMs(options: ConstructorParameters<typeof StoreWatchModel>[0]): number {
			const model = new StoreWatchModel(options);
			model.run(settleMs);
			const changes: Array<{readonly revision: number; readonly atMs: number}> = [];
			let slowestMs = 0;
			for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 50) {
				if (elapsedMs % 150 === 0 && elapsedMs < 15_000) {
					model.revision++;
					changes.push({revision: model.revision, atMs: model.network.nowMs});
				}

				model.run(50);
				const known = Math.min(...model.hosts.map(host => host.tracker.version.revision));
				const firstMissing = changes.find(change => change.revision > known);
				slowestMs = Math.max(slowestMs, firstMissing === undefined ? 0 : model.network.nowMs - firstMissing.atMs);
			}

			return slowestMs;
		}
	});

	it('keeps the hosts of a large region in contact, which relay it, with a tenth of the datagrams lost', () => {
		const model = settled({hosts: 60, seed: 5, loss: 0.1});
		const probesBefore = model.hosts.map(host => host.probes);
		model.run(20_000);
		const probing = [...model.hosts.keys()].filter(index => model.hosts[index]!.probes > probesBefore[index]! + 2);
		expect(probing).toEqual(model.watchers);
		expect(model.watchers).toHaveLength(2);
	});

	it('lets no host watch the store in place of the designated ones while nobody reaches it', () => {
		const model = settled({hosts: 6, seed: 4});
		const designated = model.watchers;
		for (const host of model.hosts) {
			host.isCut = true;
		}

		model.run(10_000);
		expect(model.watchers).toEqual(designated);
	});

	// Guards against several pulls of the same large changes at once, which share a narrow link until all of them fail.
	describe('with pulls that take longer than their timeout', () => {
		const pullsOf = (effects: ReturnType<RevisionTracker['tick']>) => effects.filter(effect => effect.kind === 'pull').map(({address}) => address);
		const version = {era: 0, revision: 5};
		let tracker: RevisionTracker;

		beforeEach(() => {
			tracker = new RevisionTracker(new SeededRandom(1), 0);
			tracker.adopt({era: 0, revision: 1});
			expect(pullsOf(tracker.recordVersion(version, 'a', 0))).toEqual(['a']);
			tracker.recordVersion(version, 'b', 100);
		});

		it('starts no other pull while a response still arrives, however long it takes', () => {
			for (let nowMs = 500; nowMs <= 20_000; nowMs += 500) {
				tracker.recordPullProgress('a', nowMs);
				expect(pullsOf(tracker.tick(nowMs + 400, 5))).toEqual([]);
			}
		});

		it('pulls from the next source after a response has stopped', () => {
			tracker.recordPullProgress('a', 5000);
			expect(pullsOf(tracker.tick(5500, 5))).toEqual([]);
			expect(pullsOf(tracker.tick(5700, 5))).toEqual(['b']);
		});

		it('keeps the pull in progress when an earlier one fails late', () => {
			expect(pullsOf(tracker.tick(700, 5))).toEqual(['b']);
			tracker.recordVersion(version, 'c', 800);
			expect(pullsOf(tracker.recordPullFailure('a', 900))).toEqual([]);
		});
	});

	// Guards against hosts that never read what a restored store has, since they saw a higher revision before.
	describe('with a store that is restored', () => {
		const at = (revision: number, era: number) => ({era, revision});
		const trackerAt = (revision: number, era: number) => {
			const tracker = new RevisionTracker(new SeededRandom(1), 0);
			tracker.adopt(at(revision, era));
			tracker.recordFullRead(era);
			return tracker;
		};

		it('brings the restored state and a change after it to all hosts that reach the store, also if the watchers do not and after two restores', () => {
			fc.assert(fc.property(fc.record({
				seed: fc.nat(10_000),
				hosts: fc.integer({min: 3, max: 12}),
				cutsWatchers: fc.boolean(),
				gapMs: fc.nat(1500),
				restores: fc.integer({min: 1, max: 2}),
			}), ({seed, hosts, cutsWatchers, gapMs, restores}) => {
				const model = settled({hosts, seed});
				model.revision = 50;
				model.run(1000);
				for (const index of cutsWatchers ? model.watchers : []) {
					model.hosts[index]!.isCut = true;
				}

				for (let count = 0; count < restores; count++) {
					model.restore(20);
					model.run(gapMs);
				}

				model.revision++;
				model.run(drainMs);
				expect(behind(model)).toEqual([]);
			}), {numRuns: 60, seed: 31});
		});

		// Guards against a fleet in the middle of an upgrade in which old hosts keep upgraded ones from a newer state, or take them back to an older one.
		it('brings every later state, and no earlier one, to all upgraded hosts that reach the store, whichever hosts are of the release before', () => {
			fc.assert(fc.property(fc.record({
				seed: fc.nat(10_000),
				legacy: fc.array(fc.boolean(), {minLength: 3, maxLength: 10}),
				lostRevisions: fc.integer({min: 1, max: 40}),
			}), ({seed, legacy, lostRevisions}) => {
				const model = new StoreWatchModel({hosts: legacy.length, seed});
				for (const [index, host] of model.hosts.entries()) {
					host.isLegacy = legacy[index]!;
				}

				const upgraded = () => model.connected().filter(index => !model.hosts[index]!.isLegacy);
				model.era = 1;
				model.revision = 50;
				model.run(settleMs);
				expect(upgraded().map(index => model.hosts[index]!.tracker.version)).toEqual(upgraded().map(() => at(50, 1)));
				model.restore(50 - lostRevisions);
				for (let change = 0; change < 3; change++) {
					model.revision += 10;
					model.run(drainMs);
					expect(upgraded().map(index => model.hosts[index]!.tracker.version)).toEqual(upgraded().map(() => model.version));
				}
			}), {numRuns: 40, seed: 37});
		});

		it('orders reports by era, then by revision', () => {
			const tracker = trackerAt(50, 2);
			expect(tracker.recordVersion(at(90, 1), 'late', 0)).toEqual([]);
			expect(tracker.recordVersion(at(50, 2), 'equal', 0)).toEqual([]);
			expect(tracker.recordVersion(at(3, 3), 'newer', 0)).toEqual([{kind: 'pull', address: 'newer'}]);
			expect([tracker.adopt(at(99, 1)), tracker.adopt(at(3, 3))]).toEqual([false, true]);
		});

		it('reads the store itself, if it does not watch it, only once peers had time to', () => {
			const tracker = trackerAt(50, 1);
			expect(tracker.recordStoreEra(2, 100)).toEqual([]);
			expect(tracker.tick(1050, 5).some(effect => effect.kind === 'read_store')).toBe(false);
			expect(tracker.tick(1150, 5)).toContainEqual({kind: 'read_store'});
			expect(tracker.tick(1250, 5)).not.toContainEqual({kind: 'read_store'});
			expect(tracker.tick(3200, 5)).toContainEqual({kind: 'read_store'});
			tracker.adopt(at(20, 2));
			expect(tracker.tick(6000, 5)).not.toContainEqual({kind: 'read_store'});
		});

		it('lets a watcher read the store as soon as a probe states a new era, and report no contact before', () => {
			const tracker = trackerAt(50, 1);
			tracker.tick(10, 0);
			expect(tracker.recordProbeAnswer(2, 20)).toEqual([{kind: 'read_store'}]);
			tracker.adopt(at(20, 2));
			tracker.recordWatchStart(30);
			tracker.tick(510, 0);
			expect(tracker.recordProbeAnswer(2, 520)).toEqual([{kind: 'report_contact'}]);
		});

		it('takes a probe that a lagging copy of the store answered with the era before for no contact', () => {
			const tracker = trackerAt(20, 2);
			tracker.tick(10, 0);
			expect(tracker.recordProbeAnswer(1, 20)).toEqual([]);
		});

		const uselessContacts = [{name: 'of the era before', version: at(90, 1)}, {name: 'without an era', version: at(90, 0)}];

		it.each(uselessContacts)('does not rely on the contact of a watcher $name, which brings no changes', ({version}) => {
			const tracker = trackerAt(20, 2);
			for (let nowMs = 100; nowMs <= 1500; nowMs += 100) {
				tracker.recordReportedContact(version, 0, nowMs);
				tracker.tick(nowMs, 5);
			}

			expect(tracker.recordProbeAnswer(2, 1600)).toContainEqual({kind: 'watch', isWatching: true});
			tracker.recordReportedContact(version, 0, 1650);
			expect(tracker.isSubstitute).toBe(true);
		});

		it('asks a peer without an era only while it has no other source, and not more often than every 2 s', () => {
			const tracker = trackerAt(20, 2);
			expect(tracker.recordVersion(at(90, 0), 'old', 500)).toEqual([]);
			expect(tracker.recordVersion(at(90, 0), 'old', 2000)).toEqual([{kind: 'pull_unordered', address: 'old'}]);
			expect(tracker.recordVersion(at(91, 0), 'old', 2100)).toEqual([]);
		});

		it('forgets an era that only a corrupt message named, once the store was read', () => {
			const tracker = trackerAt(20, 2);
			tracker.recordVersion(at(1, 999), 'corrupt', 100);
			expect(tracker.isBehindEra).toBe(true);
			tracker.recordFullRead(2);
			expect(tracker.isBehindEra).toBe(false);
		});
	});
});

import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type StoreChange} from '../contracts/store-change.js';
import {type StoreItem} from '../contracts/store-item.js';
import {type StoreVersion} from '../contracts/store-version.js';
import {RevisionTracker} from '../decisions/revision-tracker.js';
import {SeededRandom} from '../decisions/seeded-random.js';
import {StoreOutage} from '../decisions/store-outage.js';
import {TransferAdmission} from '../decisions/transfer-admission.js';
import {Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {itemChangesWire} from './item-changes-wire.js';
import {Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';
import {ReplicaService} from './replica-service.js';

const at = (revision: number, era = 0) => ({era, revision});
const itemAt = (key: string, revision: number): StoreItem => ({key, value: 'v', revision});
const unreachable = async () => ({success: false, error: {code: 'unavailable', message: ''}} as const);
const unreachableStore: Partial<PrefixStore> = {ping: unreachable, list: unreachable};

describe('ReplicaService', () => {
	const lifecycle = new Lifecycle();
	/** Response of the peer, in the format of the release under test. */
	let response: unknown;
	let replica: ReplicaService;
	let reportRevision: (version: StoreVersion, address: string) => void;
	let receivePart: Parameters<MembersService['onChangesPart']>[0];
	let requests: unknown[];
	let metrics: Metrics;
	let nowMs: number;

	beforeEach(() => {
		nowMs = 500;
		metrics = new Metrics();
		requests = [];
		replica = new ReplicaService({
			revisionTracker: new RevisionTracker(new SeededRandom(1), 0),
			outage: new StoreOutage(2200),
			clock: {nowMs: () => nowMs},
			store: unreachableStore as PrefixStore,
			logger: {
				info: () => undefined, warn: () => undefined, debug: () => undefined, limited: () => undefined,
			} as unknown as Logger,
			metrics,
			peerClient: {
				steering: () => ({
					items: {
						async mutate(request: unknown) {
							requests.push(request);
							return response;
						},
					},
				}),
			} as unknown as PeerClient,
			seeds: [],
			admission: new TransferAdmission({linkMbps: 10}),
		});
		replica.follow({
			membership: {setVersion: () => [], setSpreadVersion: () => [], delegateRank: () => 5},
			run: () => undefined,
			isConfident: () => true,
			onStoreContact: () => undefined,
			onChangesPart(listener: typeof receivePart) {
				receivePart = listener;
			},
			onRevision(listener: typeof reportRevision) {
				reportRevision = listener;
			},
		} as unknown as MembersService, lifecycle);
	});

	afterEach(async () => {
		await lifecycle.close();
	});

	const keys = () => replica.items.withPrefix('').map(({key}) => key).toSorted();

	describe('with a peer of the release before, which knows no gaps', () => {
		it('sends all items if removals are unknown', () => {
			replica.items.applyFullRead([itemAt('a', 2)], at(3), 0);
			replica.items.applyFullRead([itemAt('a', 2), itemAt('b', 5)], at(6), 0);
			expect(replica.changesSince({revision: 3, era: undefined}, false)).toMatchObject({isWhole: true, revision: 6, items: [itemAt('a', 2), itemAt('b', 5)]});
			expect(replica.changesSince({revision: 3, era: undefined}, true)).toMatchObject({isWhole: false, sinceRevision: 3, items: [itemAt('b', 5)]});
		});

		it('takes over its changes and its whole state', async () => {
			replica.items.applyFullRead([itemAt('a', 2)], at(3), 0);
			response = {
				revision: 4, isWhole: false, items: [itemAt('b', 4)], removals: [],
			};
			reportRevision(at(4), 'peer');
			await expect.poll(() => replica.items.revision).toBe(4);
			expect(keys()).toEqual(['a', 'b']);
			response = {
				revision: 8, isWhole: true, items: [itemAt('c', 7)], removals: [],
			};
			reportRevision(at(8), 'peer');
			await expect.poll(() => replica.items.revision).toBe(8);
			expect(keys()).toEqual(['c']);
		});
	});

	it('refuses a second peer a large transfer until the first has ended, and gives small changes to all', () => {
		replica.items.applyFullRead([{...itemAt('op', 2), value: 'x'.repeat(900_000)}], at(3), 0);
		const ends: Array<() => void> = [];
		const answer = (revision: number) => replica.answerPull({revision, era: 0}, true, listener => ends.push(listener));
		expect(answer(0)?.items).toHaveLength(1);
		expect(answer(0)).toBeUndefined();
		expect(answer(3)?.items).toEqual([]);
		ends[0]!();
		expect(answer(0)?.items).toHaveLength(1);
	});

	describe('with changes that a watcher spreads', () => {
		const spread = (sinceRevision: number, version: StoreVersion, items: readonly StoreItem[], removals: Array<[string, number, number]> = [], gaps: Array<[number, number]> = []) => {
			receivePart({
				kind: 'changes_part',
				origin: 'watcher/1',
				address: 'watcher',
				version,
				index: 0,
				count: 1,
				data: itemChangesWire.encode({
					sinceRevision, revision: version.revision, items: [...items], removals, gaps,
				})!,
			});
		};

		beforeEach(() => {
			replica.items.applyFullRead([itemAt('a', 2)], at(3, 1), 0);
		});

		it('applies those that follow on what it has, without a pull', () => {
			const seen: StoreChange[] = [];
			replica.onChange(changes => {
				seen.push(...changes);
			});
			spread(3, at(6, 1), [itemAt('b', 5)], [['a', 6, 400]]);
			spread(5, at(8, 1), [itemAt('c', 8)]);
			expect([replica.items.version, keys(), requests]).toEqual([at(8, 1), ['b', 'c'], []]);
			expect(seen).toContainEqual({
				kind: 'removed', key: 'a', revision: 6, retainUntilMs: 900,
			});
		});

		it('removes what a watcher no longer found when it read the store again', () => {
			spread(3, at(6, 1), [itemAt('b', 5)]);
			spread(3, at(8, 1), [itemAt('c', 7)], [], [[3, 8]]);
			expect([replica.items.version, keys()]).toEqual([at(8, 1), ['a', 'c']]);
		});

		// Guards against a replica that counts as complete without a change that was lost on the way.
		it('pulls what is missing before them', async () => {
			response = {
				era: 1, revision: 9, isWhole: false, sinceRevision: 3, items: [itemAt('b', 5), itemAt('c', 8)], removals: [], gaps: [],
			};
			spread(6, at(9, 1), [itemAt('c', 8)]);
			expect([replica.items.version, keys()]).toEqual([at(3, 1), ['a', 'c']]);
			await expect.poll(() => replica.items.version).toEqual(at(9, 1));
			expect(requests).toEqual([{
				haveRevision: 3, haveEra: 1, acceptsGaps: true, acceptsDeflated: true,
			}]);
		});

		it.each([at(6), at(6, 2), at(3, 1)])('ignores those of another era, and what it has already: %o', version => {
			spread(3, version, [itemAt('b', 5)]);
			expect([replica.items.version, keys(), requests]).toEqual([at(3, 1), ['a'], []]);
		});
	});

	describe('after a restore of the store', () => {
		let changes: StoreChange[];
		let eras: Array<readonly [number, number]>;
		const whole = (era: number | undefined, revision: number, ...items: StoreItem[]) => ({
			...(era !== undefined && {era}), revision, isWhole: true, sinceRevision: 0, items, removals: [], gaps: [],
		});

		beforeEach(async () => {
			[changes, eras] = [[], []];
			response = whole(1, 100, itemAt('a', 80));
			reportRevision(at(100, 1), 'peer');
			await expect.poll(() => replica.items.version).toEqual(at(100, 1));
			requests = [];
			replica.onChange(list => {
				changes.push(...list);
			});
			replica.onNewEra((era, retainUntilMs) => {
				eras.push([era, retainUntilMs]);
			});
		});

		it('takes over all items of a peer that has the new era, below the revision known before, and retains what they lack', async () => {
			response = whole(2, 50, itemAt('b', 40));
			reportRevision(at(50, 2), 'peer');
			await expect.poll(() => replica.items.version).toEqual(at(50, 2));
			expect(requests).toEqual([{
				haveRevision: 100, haveEra: 1, acceptsGaps: true, acceptsDeflated: true,
			}]);
			expect([keys(), eras]).toEqual([['b'], [[2, 2700]]]);
			expect(metrics.render()).toContain('store_era_changes 1');
			expect(changes).toContainEqual({
				kind: 'removed', key: 'a', revision: 50, retainUntilMs: 2700, isLost: true,
			});
		});

		it('drops the late response of a peer that still has the era before', async () => {
			replica.items.applyFullRead([itemAt('b', 40)], at(50, 2), 0);
			response = whole(1, 101, itemAt('a', 101));
			reportRevision(at(9, 3), 'peer');
			await expect.poll(() => requests).toHaveLength(1);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			expect([keys(), replica.items.version]).toEqual([['b'], at(50, 2)]);
		});

		it('sends all items to a peer of another era, and changes to one of its own', () => {
			replica.items.applyFullRead([itemAt('b', 40)], at(50, 2), 0);
			replica.items.applyChanges([{kind: 'written', item: itemAt('c', 60)}], at(60, 2));
			expect(replica.changesSince({revision: 55, era: 1}, true)).toMatchObject({era: 2, isWhole: true, items: [itemAt('b', 40), itemAt('c', 60)]});
			expect(replica.changesSince({revision: 55, era: 2}, true)).toMatchObject({era: 2, isWhole: false, items: [itemAt('c', 60)]});
		});

		it('sends changes to a peer of the release before as long as the era did not change, then all items with revisions that it takes for new', () => {
			replica.items.applyChanges([{kind: 'written', item: itemAt('c', 110)}], at(110, 1));
			expect(replica.changesSince({revision: 105, era: undefined}, true)).toMatchObject({isWhole: false, items: [itemAt('c', 110)]});
			replica.recordStoreEra(2, 'store');
			replica.items.applyFullRead([itemAt('a', 40)], at(120, 2), 0);
			expect(replica.changesSince({revision: 110, era: undefined}, true)).toMatchObject({isWhole: true, revision: 120, items: [itemAt('a', 120)]});
		});

		it('does not pull from a peer of the release before while it has other sources, and does not mix its items in while it has none', async () => {
			response = whole(undefined, 200, itemAt('a', 190));
			reportRevision(at(200), 'old');
			expect(requests).toEqual([]);
			nowMs = 5000;
			reportRevision(at(200), 'old');
			await expect.poll(() => changes).toEqual([{kind: 'written', item: itemAt('a', 190), origin: 'unordered'}]);
			expect(replica.items.get('a')).toEqual(itemAt('a', 80));
		});
	});
});

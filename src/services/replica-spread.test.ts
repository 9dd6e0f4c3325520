import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type ItemChanges} from '../contracts/item-changes.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type StoreItem} from '../contracts/store-item.js';
import {type StoreVersion} from '../contracts/store-version.js';
import {RevisionTracker} from '../decisions/revision-tracker.js';
import {SeededRandom} from '../decisions/seeded-random.js';
import {StoreOutage} from '../decisions/store-outage.js';
import {TransferAdmission} from '../decisions/transfer-admission.js';
import {Lifecycle} from '../kernel/lifecycle.js';
import {itemChangesWire} from './item-changes-wire.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';
import {ReplicaService} from './replica-service.js';

type WatchResponse = Awaited<ReturnType<PrefixStore['watchPrefix']>>;

const itemAt = (key: string, revision: number, value = 'v'): StoreItem => ({key, value, revision});

// Guards against hosts that all pull each change from the two that watch the store, and get it late (CONFIG, DRAIN).
describe('ReplicaService of a host that watches the store', () => {
	let lifecycle: Lifecycle;
	let listed: readonly StoreItem[];
	let listedRevision: number;
	let answerWatch: (response: WatchResponse) => void;
	let spread: ItemChanges[];
	let announced: StoreVersion[];
	let replica: ReplicaService;

	beforeEach(async () => {
		lifecycle = new Lifecycle();
		[spread, announced, listed, listedRevision] = [[], [], [itemAt('a', 2)], 3];
		answerWatch = () => undefined;
		const store: Partial<PrefixStore> = {
			ping: async () => ({success: true, data: {era: 1}}),
			list: async () => ({success: true, data: {items: listed, revision: listedRevision, era: 1}}),
			watchPrefix: async () => new Promise(resolve => {
				answerWatch = resolve;
			}),
		};
		replica = new ReplicaService({
			revisionTracker: new RevisionTracker(new SeededRandom(1), 0),
			outage: new StoreOutage(2200),
			clock: {nowMs: () => 500},
			store: store as PrefixStore,
			logger: {
				info: () => undefined, warn: () => undefined, debug: () => undefined, limited: () => undefined,
			} as unknown as Logger,
			metrics: new Metrics(),
			peerClient: {} as unknown as PeerClient,
			seeds: [],
			admission: new TransferAdmission({linkMbps: 10}),
		});
		await replica.start(lifecycle);
		replica.follow({
			membership: {
				delegateRank: () => 0,
				setVersion(version: StoreVersion) {
					announced.push(version);
					return [];
				},
				setSpreadVersion: () => [],
				spreadChanges(_version: StoreVersion, parts: Uint8Array[]) {
					spread.push(itemChangesWire.decode(parts[0]!)!);
					return [];
				},
				reportStoreContact: () => [],
			},
			run: () => undefined,
			isConfident: () => true,
			onStoreContact: () => undefined,
			onChangesPart: () => undefined,
			onRevision: () => undefined,
		} as unknown as MembersService, lifecycle);
		announced = [];
		await expect.poll(() => answerWatch.length).toBe(1);
	});

	afterEach(async () => {
		await lifecycle.close();
	});

	it('spreads what a watch returns', async () => {
		answerWatch({success: true, data: {changes: [{kind: 'written', item: itemAt('b', 5)}, {kind: 'removed', key: 'a', revision: 6}], revision: 6, era: 1}});
		await expect.poll(() => spread).toEqual([{
			sinceRevision: 3, revision: 6, items: [itemAt('b', 5)], removals: [['a', 6, 0]], gaps: [],
		}]);
		expect(announced).toEqual([]);
	});

	it('repeats the changes of the spread before, so that a lost datagram is made up for by the next one', async () => {
		const first = answerWatch;
		first({success: true, data: {changes: [{kind: 'written', item: itemAt('b', 5)}], revision: 5, era: 1}});
		await expect.poll(() => answerWatch !== first).toBe(true);
		answerWatch({success: true, data: {changes: [{kind: 'written', item: itemAt('c', 7)}], revision: 7, era: 1}});
		await expect.poll(() => spread[1]).toEqual({
			sinceRevision: 3, revision: 7, items: [itemAt('b', 5), itemAt('c', 7)], removals: [], gaps: [],
		});
	});

	it('spreads what it finds changed when it reads the store again after a lost watch', async () => {
		[listed, listedRevision] = [[itemAt('c', 8)], 9];
		answerWatch({success: false, error: {code: 'lost_answer', message: ''}});
		await expect.poll(() => spread).toEqual([{
			sinceRevision: 3, revision: 9, items: [itemAt('c', 8)], removals: [['a', 9, 2200]], gaps: [[3, 9]],
		}]);
		expect(announced).toEqual([]);
	});

	it('announces what is too large, which the others then pull', async () => {
		const large = itemAt('c', 8, 'x'.repeat(200_000));
		answerWatch({success: true, data: {changes: [{kind: 'written', item: large}], revision: 8, era: 1}});
		await expect.poll(() => announced).toEqual([{era: 1, revision: 8}]);
		expect(spread).toEqual([]);
	});
});

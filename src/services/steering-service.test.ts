import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {steeringItemCodec} from '../../platform/steering-item-codec.js';
import {platformDocuments} from '../../stand-ins/platform-documents.js';
import {platformNames} from '../../stand-ins/platform-names.js';
import {type StoreChange} from '../contracts/store-change.js';
import {InstanceTable} from '../decisions/instance-table.js';
import {SteeringService} from './steering-service.js';

const {route, configuration, instance} = platformDocuments;

describe('SteeringService', () => {
	let nowMs: number;
	let instances: InstanceTable;
	let steering: SteeringService;
	let apply: (...changes: StoreChange[]) => void;
	let announceEra: (retainUntilMs: number) => Promise<void>;
	let tick: () => void;

	beforeEach(() => {
		nowMs = 1000;
		instances = new InstanceTable({regionOf: new Map([['dsm-a', 'dsm']])});
		const ignore = () => undefined;
		steering = new SteeringService({
			clock: {nowMs: () => nowMs},
			logger: {
				info: ignore, warn: ignore, error: ignore, limited: ignore,
			},
			metrics: {gauge: ignore},
			replica: {
				unconfirmedMs: 0,
				onChange(listener) {
					apply = (...changes) => {
						listener(changes, 'store');
					};
				},
				onNewEra(listener) {
					announceEra = async retainUntilMs => listener(2, retainUntilMs);
				},
			},
			itemCodec: steeringItemCodec,
			instances,
		});
		steering.start({
			every(_name, _intervalMs, run) {
				tick = () => {
					run();
				};
			},
		});
	});

	const written = (key: string, value: unknown, origin?: 'restored' | 'unordered'): StoreChange => ({
		kind: 'written', item: {key, value: JSON.stringify(value), revision: 1}, ...(origin !== undefined && {origin}),
	});
	const lost = (key: string, retainUntilMs: number): StoreChange => ({
		kind: 'removed', key, revision: 1, retainUntilMs, isLost: true,
	});
	const configurationOf = (version: number, origin?: 'restored' | 'unordered') => written(platformNames.configurationKey, configuration(version, [route('read', '/read/')]), origin);
	const isServing = () => instances.serving('books').length === 1;

	// Guards against requests to an evacuated zone because a restored store lacks the entry until the operator writes it again (EVAC).
	it('keeps zones and hosts that a new era lacks until the time for them to be written again has passed, also after a second restore', async () => {
		const hostKey = steeringItemCodec.hostKey('edge-1');
		apply(written(platformNames.instanceKey('i'), instance('127.0.0.1:9')));
		apply(written(platformNames.evacuationKey('dsm-a'), {}), written(hostKey, {address: '127.0.0.1:1', region: 'dsm', zone: 'dsm-a'}));
		apply(lost(platformNames.evacuationKey('dsm-a'), 3200), lost(hostKey, 3200));
		await announceEra(4000);
		nowMs = 3900;
		tick();
		expect([isServing(), steering.hosts.size]).toEqual([false, 1]);
		nowMs = 4000;
		tick();
		expect([isServing(), steering.hosts.size]).toEqual([true, 0]);
	});

	it('does not remove a zone or a host that was written again', () => {
		const hostKey = steeringItemCodec.hostKey('edge-1');
		const entries = [written(platformNames.evacuationKey('dsm-a'), {}), written(hostKey, {address: '127.0.0.1:1', region: 'dsm', zone: 'dsm-a'})];
		apply(written(platformNames.instanceKey('i'), instance('127.0.0.1:9')), ...entries);
		apply(lost(platformNames.evacuationKey('dsm-a'), 3200), lost(hostKey, 3200));
		apply(...entries);
		nowMs = 9000;
		tick();
		expect([isServing(), steering.hosts.size]).toEqual([false, 1]);
	});

	it('takes a zone back at once that is removed within an era', () => {
		apply(written(platformNames.instanceKey('i'), instance('127.0.0.1:9')), written(platformNames.evacuationKey('dsm-a'), {}));
		apply({
			kind: 'removed', key: platformNames.evacuationKey('dsm-a'), revision: 2, retainUntilMs: 3200,
		});
		expect(isServing()).toBe(true);
	});

	it('keeps the configuration in force if a restored one is older', () => {
		apply(configurationOf(5));
		apply(configurationOf(3, 'restored'));
		expect(steering.routes?.version).toBe(5);
	});

	// Guards against a mixed fleet that goes back to what a host of the release before still has.
	it('takes from a peer that states no era only a later configuration', () => {
		apply(configurationOf(5));
		apply(configurationOf(4, 'unordered'), written(platformNames.instanceKey('i'), instance('127.0.0.1:9'), 'unordered'));
		expect([steering.routes?.version, instances.size]).toEqual([5, 0]);
		apply(configurationOf(6, 'unordered'));
		expect(steering.routes?.version).toBe(6);
	});
});

import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {type PrefixStore} from '../../contracts/prefix-store.js';
import {QuotaSlots} from '../../decisions/quota-slots.js';
import {type RouteTable} from '../../contracts/route-table.js';
import {QuotaSlotService} from './quota-slot-service.js';

const account = {
	name: 'acme', priority: undefined, allowedRegions: [], quota: {ratePerSecond: 100, burst: 100},
};
const table = {accounts: new Map([[account.name, account]])} as unknown as RouteTable;

describe('QuotaSlotService', () => {
	let nowMs: number;
	let era: number;
	let calls: string[];
	let slots: QuotaSlots;
	let holders: Map<number, {readonly host: string; readonly revision: number}>;
	let tick: () => void;
	let announceEra: (era: number, retainUntilMs: number) => unknown;
	let close: () => unknown;

	beforeEach(() => {
		nowMs = 0;
		era = 1;
		calls = [];
		holders = new Map();
		slots = new QuotaSlots({self: 'h1', slots: 2, rateLoanMs: 1000});
		const store: Pick<PrefixStore, 'openLease' | 'renewLease' | 'endLease' | 'putLeasedIf' | 'removeIf'> = {
			async openLease(ttlMs) {
				calls.push('open');
				return {success: true, data: {leaseId: calls.length, ttlMs, era}};
			},
			async renewLease(leaseId) {
				calls.push(`renew ${leaseId}`);
				return {success: true, data: {era}};
			},
			async endLease(leaseId) {
				calls.push(`end ${leaseId}`);
				return {success: true, data: {era}};
			},
			async putLeasedIf({key}) {
				calls.push(`claim ${key}`);
				holders.set(Number(key), {host: 'h1', revision: calls.length});
				return {success: true, data: {era}};
			},
			removeIf: async () => ({success: true, data: {era}}),
		};
		const service = new QuotaSlotService({
			clock: {nowMs: () => nowMs},
			logger: {info: () => undefined, debug: () => undefined},
			metrics: {gauge: () => undefined, count: () => undefined},
			store,
			steering: {
				onRoutes(listener) {
					listener(table);
				},
				hosts: new Map(),
				get quotaSlots() {
					return holders;
				},
			},
			replica: {
				onNewEra(listener) {
					announceEra = listener;
				},
			},
			slots,
			share: {setSlots: () => undefined},
			keyOf: String,
			value: 'h1',
		});
		service.start({
			every(_name, _ms, run) {
				tick = run;
			},
			addCleanup(_name, run) {
				close = run;
			},
		});
	});

	async function tickAt(ms: number): Promise<void> {
		nowMs = ms;
		tick();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	it('opens no lease while it has no slot to claim, since every call to the store is paid for', async () => {
		holders.set(0, {host: 'h2', revision: 1});
		holders.set(1, {host: 'h2', revision: 2});
		await tickAt(0);
		await tickAt(2000);
		expect(calls).toEqual([]);
	});

	it('does not mint by a lease of the era before, nor renews or ends it: the restored store may have given its id to another host', async () => {
		await tickAt(0);
		await tickAt(2000);
		await tickAt(4000);
		expect(calls).toEqual(['open', 'claim 0', 'claim 1']);
		expect(slots.activeCount(nowMs)).toBe(2);
		era = 2;
		announceEra(era, nowMs + 2200);
		expect(slots.activeCount(nowMs)).toBe(0);
		await close();
		expect(calls).toEqual(['open', 'claim 0', 'claim 1']);
		await tickAt(6000);
		expect(calls.slice(3)).toEqual(['open', 'claim 0', 'claim 1']);
	});

	it('does not mint on by a renewal that the restored store answers before this host hears of the new era', async () => {
		await tickAt(0);
		await tickAt(2000);
		era = 2;
		await tickAt(30_000);
		expect(slots.activeCount(nowMs)).toBe(0);
	});
});

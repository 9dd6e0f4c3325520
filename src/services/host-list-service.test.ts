import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {SeededRandom} from '../decisions/seeded-random.js';
import {HostListService} from './host-list-service.js';

describe('HostListService', () => {
	let era: number;
	/** Ids of the leases that the store knows. */
	let leases: Set<number>;
	let nextLeaseId: number;
	let calls: string[];
	let heardEras: number[];
	let announceEra: (era: number) => Promise<void> | void;
	let renew: () => void;
	let stop: () => Promise<void>;

	beforeEach(async () => {
		[era, nextLeaseId, leases, calls, heardEras] = [1, 7, new Set(), [], []];
		const lookUp = (call: string, leaseId: number) => {
			calls.push(`${call} ${leaseId}`);
			return leases.has(leaseId) ? {success: true, data: {era}} as const : {success: false, error: {code: 'no_lease', message: '', era}} as const;
		};

		const service = new HostListService({
			store: {
				async openLease() {
					const leaseId = nextLeaseId++;
					leases.add(leaseId);
					calls.push(`open ${leaseId}`);
					return {success: true, data: {leaseId, ttlMs: 60_000, era}};
				},
				putLeased: async (_key, _value, leaseId) => lookUp('put', leaseId),
				renewLease: async leaseId => lookUp('renew', leaseId),
				endLease: async leaseId => lookUp('end', leaseId),
			},
			steering: {hosts: new Map()},
			replica: {
				onNewEra(listener) {
					announceEra = async newEra => listener(newEra, 0);
				},
				recordStoreEra(stated) {
					heardEras.push(stated);
				},
			},
			logger: {debug: () => undefined, info: () => undefined},
			random: new SeededRandom(1),
			key: 'k',
			value: 'v',
		});
		service.start({
			every(_name, _intervalMs, run) {
				renew = run;
			},
			addCleanup(_name, run) {
				stop = async () => run();
			},
		});
		await expect.poll(() => calls).toEqual(['open 7', 'put 7']);
		calls = [];
	});

	/** Restores the store; another host has the lease id of this one afterwards if `isReused`. */
	function restore(isReused: boolean): void {
		era = 2;
		leases = new Set(isReused ? [7] : []);
	}

	// Guards against the entry that is gone for up to 20 s, and against renewing the lease of another host.
	it('writes the entry again under a new lease when a new era is heard of', async () => {
		restore(true);
		await announceEra(2);
		expect(calls).toEqual(['open 8', 'put 8']);
	});

	it('writes the entry again if a renewal succeeds in a new era, in which the lease is that of another host', async () => {
		restore(true);
		renew();
		await expect.poll(() => calls).toEqual(['renew 7', 'open 8', 'put 8']);
		expect(heardEras).toContain(2);
	});

	it('writes the entry again if the store has lost the lease before its time, without an era too', async () => {
		leases = new Set();
		renew();
		await expect.poll(() => calls).toEqual(['renew 7', 'open 8', 'put 8']);
	});

	it('does not end the lease of another host when it stops before the entry is written again', async () => {
		restore(true);
		const written = announceEra(2);
		await stop();
		await written;
		expect(calls).toEqual([]);
	});

	it('ends its own lease when it stops', async () => {
		await stop();
		expect(calls).toEqual(['end 7']);
	});
});

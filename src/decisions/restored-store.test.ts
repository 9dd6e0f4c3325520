import {describe, expect, it} from 'vitest';
import {type LiveInstance} from '../contracts/live-instance.js';
import {HeldRemovals} from './held-removals.js';
import {InstanceTable} from './instance-table.js';

describe('HeldRemovals', () => {
	it('returns a removal once its time has come, unless the key was written again', () => {
		const held = new HeldRemovals();
		held.hold('a', 100);
		held.hold('b', 100);
		held.cancel('b');
		expect([held.takeDue(99), held.takeDue(100), held.takeDue(200)]).toEqual([[], ['a'], []]);
	});

	it('holds removals longer after a second restore', () => {
		const held = new HeldRemovals();
		held.hold('a', 100);
		held.extend(150);
		held.extend(120);
		expect([held.takeDue(149), held.takeDue(150)]).toEqual([[], ['a']]);
	});
});

describe('InstanceTable after a restore of the store', () => {
	const instance = (fields: Partial<LiveInstance>): LiveInstance => ({
		id: 'i', born: 5, service: 's', address: '10.0.0.1:80', zone: 'a-1', slots: 3, isDraining: false, coldMs: 0, ...fields,
	});
	const tableWith = (known: LiveInstance) => {
		const table = new InstanceTable({regionOf: new Map()});
		table.write(known, 0);
		return table;
	};

	// Guards against requests to a draining instance because the copy is older than its last entry (DRAIN).
	it('keeps a later entry of the same process, and takes over those of another process', () => {
		const table = tableWith(instance({sequence: 4, isDraining: true}));
		table.remove('i', 900, 100);
		table.writeRestored(instance({sequence: 3}), 200);
		expect(table.get('i')).toMatchObject({instance: {isDraining: true}, retainUntilMs: undefined});
		table.writeRestored(instance({sequence: 1, born: 4}), 300);
		expect(table.get('i')?.instance.born).toBe(4);
	});

	it('retains missing entries longer after a second restore', () => {
		const table = tableWith(instance({}));
		table.remove('i', 900, 100);
		table.extendRetention(1500);
		table.expire(1000);
		expect(table.size).toBe(1);
		table.expire(1500);
		expect(table.size).toBe(0);
	});
});

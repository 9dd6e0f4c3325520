import {describe, expect, it} from 'vitest';
import {EntryLease} from './entry-lease.js';

describe('EntryLease', () => {
	// Guards against renewing or ending the lease of another host, to which the restored store gave the same id.
	it('is of no use in a later era, also if the store knows its id', () => {
		const lease = new EntryLease();
		expect(lease.recordWritten(7, 1, 1)).toBe(true);
		lease.hear(2);
		expect(lease.id).toBeUndefined();
		expect(lease.recordWritten(7, 2, 2)).toBe(true);
		lease.hear(1);
		expect(lease.id).toBe(7);
	});

	it('is not taken for written if the store was restored between its opening and the write', () => {
		const lease = new EntryLease();
		expect(lease.recordWritten(7, 1, 2)).toBe(false);
		expect(lease.recordWritten(8, 1, 1)).toBe(false);
	});

	it('is given up when the store does not know it, unless another one was opened since', () => {
		const lease = new EntryLease();
		lease.recordWritten(8, 0, 0);
		lease.recordLost(7);
		expect(lease.id).toBe(8);
		lease.recordLost(8);
		expect(lease.id).toBeUndefined();
	});
});

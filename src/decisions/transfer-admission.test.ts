import {describe, expect, it} from 'vitest';
import {TransferAdmission} from './transfer-admission.js';

const large = 900_000;

describe('TransferAdmission', () => {
	// Guards against a source whose link and memory are shared by all of its region's hosts at once.
	it('admits as many large transfers at a time as the link carries in a second', () => {
		const admission = new TransferAdmission({linkMbps: 20});
		expect([1, 2, 3].map(() => admission.admit(large, 0) !== undefined)).toEqual([true, true, false]);
	});

	it('admits one transfer of any size, and the next one after its end', () => {
		const admission = new TransferAdmission({linkMbps: 7});
		const end = admission.admit(8_000_000, 0);
		expect(admission.admit(large, 0)).toBeUndefined();
		end!();
		expect(admission.admit(large, 0)).toBeDefined();
	});

	it('limits the memory of a host that states no link', () => {
		const admission = new TransferAdmission({linkMbps: Number.POSITIVE_INFINITY});
		const admitted = Array.from({length: 40}, () => admission.admit(large, 0)).filter(end => end !== undefined);
		expect(admitted).toHaveLength(4);
	});

	it('admits small transfers while large ones are in progress', () => {
		const admission = new TransferAdmission({linkMbps: 7});
		admission.admit(large, 0);
		expect(admission.admit(2000, 0)).toBeDefined();
	});

	it('does not count a transfer for ever whose receiver is gone', () => {
		const admission = new TransferAdmission({linkMbps: 7});
		admission.admit(large, 0);
		expect(admission.admit(large, 2900)).toBeUndefined();
		expect(admission.admit(large, 3100)).toBeDefined();
	});
});

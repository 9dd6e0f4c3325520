import {describe, expect, it} from 'vitest';
import {fingerprintKinds} from './fingerprint-kinds.js';
import {Quarantine} from './quarantine.js';

const hourMs = 3_600_000;

describe('Quarantine', () => {
	it('counts the crashes of a request anew after the earlier ones have lapsed', () => {
		const quarantine = new Quarantine();
		quarantine.recordCrash('f', 's', ['i-1', 'i-2'], 0);
		expect(quarantine.isBlocked('f', hourMs - 1)).toBe(true);
		expect(quarantine.isBlocked('f', hourMs)).toBe(false);
		quarantine.recordCrash('f', 's', ['i-3'], hourMs);
		expect(quarantine.isBlocked('f', hourMs)).toBe(false);
		quarantine.recordCrash('f', 's', ['i-4'], hourMs + 1);
		expect(quarantine.isBlocked('f', hourMs + 2)).toBe(true);
	});

	// Guards against refusals of ordinary uploads whose beginning is that of one that crashes instances.
	it('never refuses requests that only begin alike, and suspects them for an hour', () => {
		const quarantine = new Quarantine();
		const beginning = fingerprintKinds.mark('beginning', 'digest');
		quarantine.recordCrash(beginning, 's', ['i-1', 'i-2', 'i-3'], 0);
		expect(quarantine.isBlocked(beginning, 1)).toBe(false);
		expect(quarantine.blocked(1)).toEqual([]);
		expect([quarantine.isSuspect(beginning, 1), quarantine.isSuspect(beginning, hourMs)]).toEqual([true, false]);
	});
});

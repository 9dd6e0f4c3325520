import {describe, expect, it} from 'vitest';
import {CollectionPolicy} from './collection-policy.js';

const processLimitBytes = 100;

describe('CollectionPolicy', () => {
	const countCollections = (usedBytes: number, freedBytes: number, durationMs: number) => {
		const policy = new CollectionPolicy({processLimitBytes});
		let count = 0;
		for (let nowMs = 0; nowMs < durationMs; nowMs += 250) {
			if (policy.isDue(usedBytes, nowMs)) {
				policy.recordCollection(freedBytes, nowMs);
				count++;
			}
		}

		return count;
	};

	it('collects only while the process is near the memory of its host, and never on a host that states none', () => {
		expect(countCollections(84, 10, 60_000)).toBe(0);
		expect(countCollections(85, 10, 60_000)).toBeGreaterThan(0);
		expect(new CollectionPolicy({processLimitBytes: Number.POSITIVE_INFINITY}).isDue(1e12, 0)).toBe(false);
	});

	// Guards against a process that spends its time with collections while a crowd stays.
	it('collects at most every two seconds, and seldom if that frees little', () => {
		expect(countCollections(95, 10, 60_000)).toBeLessThanOrEqual(30);
		expect(countCollections(95, 0, 600_000)).toBeLessThanOrEqual(23);
	});
});

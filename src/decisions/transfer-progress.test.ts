import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {leastTransferRate} from './least-transfer-rate.js';
import {TransferProgress} from './transfer-progress.js';

const windowMs = 800;
const bytesPerMsAtOneMbps = 125;

/** Returns the time at which a transfer at a steady rate ends or is given up, in milliseconds. */
function play({bytes, bytesPerMs, linkMbps}: {readonly bytes: number; readonly bytesPerMs: number; readonly linkMbps: number}): {readonly isWhole: boolean; readonly tookMs: number} {
	const progress = new TransferProgress({windowMs, leastBytesPerMs: leastTransferRate(linkMbps)});
	const stepMs = 20;
	let windowStartMs = 0;
	let received = 0;
	for (let nowMs = stepMs; ; nowMs += stepMs) {
		received += bytesPerMs * stepMs;
		if (received >= bytes) {
			return {isWhole: true, tookMs: nowMs};
		}

		if (progress.record(bytesPerMs * stepMs)) {
			windowStartMs = nowMs;
		}

		if (nowMs - windowStartMs >= windowMs) {
			return {isWhole: false, tookMs: nowMs};
		}
	}
}

describe('TransferProgress', () => {
	// Guards against limits that hold for one size of the configuration or one bandwidth only.
	it('lets every transfer end that gets a fiftieth of its link, for links of 0.1 to 1,000 Mbit/s and up to 64 MB', () => {
		fc.assert(fc.property(fc.double({min: 0.1, max: 1000, noNaN: true}), fc.integer({min: 1, max: 67_108_864}), fc.double({min: 0.02, max: 1, noNaN: true}), (linkMbps, bytes, share) => {
			expect(play({bytes, bytesPerMs: linkMbps * bytesPerMsAtOneMbps * share, linkMbps}).isWhole).toBe(true);
		}), {numRuns: 60, seed: 43});
	});

	it('gives up a transfer below the least rate within one window', () => {
		expect(play({bytes: 1_400_000, bytesPerMs: leastTransferRate(10) * 0.9, linkMbps: 10})).toEqual({isWhole: false, tookMs: windowMs});
	});
});

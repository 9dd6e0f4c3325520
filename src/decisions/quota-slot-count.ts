import {quotaLimits} from './quota-limits.js';

const maxSlots = 16;
/** Rates that are tried, in requests a second: from the lowest to the highest in steps of 1%. */
const rates = {lowest: 0.01, highest: 1_000_000, step: 1.01};
/** Covers rates between those that are tried. */
const margin = 1.001;

/**
 * Returns the number of slots into which quotas are divided: a power of two, at most 16, such that a slot of each quota holds a whole token.
 * With less, its host could neither serve nor lend one. It follows from the settings alone: hosts that know different limits have to agree on it.
 */
export function quotaSlotCount(bounds: Parameters<typeof quotaLimits>[1]): number {
	let minDepth = Number.POSITIVE_INFINITY;
	for (let ratePerSecond = rates.lowest; ratePerSecond <= rates.highest; ratePerSecond *= rates.step) {
		minDepth = Math.min(minDepth, quotaLimits({ratePerSecond, burst: 0}, bounds).depth);
	}

	return 2 ** Math.floor(Math.log2(Math.max(1, Math.min(maxSlots, minDepth / margin))));
}

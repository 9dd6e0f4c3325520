import {QuotaModel} from './quota-model/quota-model.js';

type QuotasOptions = {readonly seed: number};

const hostCounts = [6, 32, 132, 300];
/** Rate and burst of the accounts. */
const quotas = [[560, 0], [560, 560], [5, 0], [5, 5]] as const;
const patterns = ['even', 'one', 'moving'] as const;
/** Demand as a multiple of the limit: just the limit, and far above it. */
const demands = [1, 4];
const secondsOfPlay = {fast: 25, slow: 65};

/** Plays the quotas in virtual time at several numbers of hosts, limits, patterns and demands. */
export async function measureQuotas({seed}: QuotasOptions): Promise<Record<string, unknown>> {
	const rows: Array<Record<string, unknown>> = [];
	for (const hosts of hostCounts) {
		for (const [ratePerSecond, burst] of quotas) {
			for (const demand of demands) {
				for (const pattern of patterns) {
					const result = new QuotaModel({
						hosts, ratePerSecond, burst, pattern, demand, seed, seconds: ratePerSecond < 50 ? secondsOfPlay.slow : secondsOfPlay.fast,
					}).run();
					rows.push({
						hosts, ratePerSecond, burst, demand, pattern, ...Object.fromEntries(Object.entries(result).map(([name, value]) => [name, Number(value.toFixed(3))])),
					});
				}
			}
		}
	}

	return {seed, rows};
}

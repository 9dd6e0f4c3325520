/** Returns the median, the 99th and 99.9th percentile and the maximum, rounded to three decimals, and the number of values. */
export function percentiles(values: readonly number[]): {readonly p50: number; readonly p99: number; readonly p999: number; readonly max: number; readonly count: number} {
	const sorted = values.toSorted((a, b) => a - b);
	const at = (share: number) => round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN);
	return {
		p50: at(0.5), p99: at(0.99), p999: at(0.999), max: round(sorted.at(-1) ?? Number.NaN), count: sorted.length,
	};
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

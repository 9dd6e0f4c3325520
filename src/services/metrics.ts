import {build, type Histogram} from 'hdr-histogram-js';

type Labels = Readonly<Record<string, string>>;

/** Longest duration that a histogram records; longer ones are recorded as this value. */
const maxDurationUs = 600_000_000;
const quantiles = [0.5, 0.9, 0.99, 0.999];

/** Counters, gauges and latency histograms, rendered in the Prometheus text format. */
export class Metrics {
	readonly #counters = new Map<string, Map<string, number>>();
	readonly #gauges = new Map<string, () => number>();
	readonly #histograms = new Map<string, Map<string, {readonly histogram: Histogram; sumUs: number}>>();

	/** Adds to a counter. */
	count(name: string, labels: Labels = {}, amount = 1): void {
		let series = this.#counters.get(name);
		if (series === undefined) {
			series = new Map();
			this.#counters.set(name, series);
		}

		const key = renderLabels(labels);
		series.set(key, (series.get(key) ?? 0) + amount);
	}

	/** Registers a gauge whose value is read whenever the metrics are rendered. */
	gauge(name: string, read: () => number): void {
		this.#gauges.set(name, read);
	}

	/** Records a duration in milliseconds. */
	observe(name: string, labels: Labels, durationMs: number): void {
		let series = this.#histograms.get(name);
		if (series === undefined) {
			series = new Map();
			this.#histograms.set(name, series);
		}

		const key = renderLabels(labels);
		let entry = series.get(key);
		if (entry === undefined) {
			entry = {
				histogram: build({
					lowestDiscernibleValue: 1, highestTrackableValue: maxDurationUs, numberOfSignificantValueDigits: 2, bitBucketSize: 32,
				}), sumUs: 0,
			};
			series.set(key, entry);
		}

		const us = Math.min(maxDurationUs, Math.max(1, Math.round(durationMs * 1000)));
		entry.histogram.recordValue(us);
		entry.sumUs += us;
	}

	/** Returns all metrics in the Prometheus text format; durations are in seconds. */
	render(): string {
		const lines: string[] = [];
		for (const [name, series] of this.#counters) {
			lines.push(`# TYPE cowslipspar_${name} counter`);
			for (const [labels, value] of series) {
				lines.push(`cowslipspar_${name}${labels} ${value}`);
			}
		}

		for (const [name, read] of this.#gauges) {
			lines.push(`# TYPE cowslipspar_${name} gauge`, `cowslipspar_${name} ${read()}`);
		}

		for (const [name, series] of this.#histograms) {
			lines.push(`# TYPE cowslipspar_${name} summary`);
			for (const [labels, {histogram, sumUs}] of series) {
				for (const quantile of quantiles) {
					const seconds = histogram.getValueAtPercentile(quantile * 100) / 1_000_000;
					lines.push(`cowslipspar_${name}${withLabel(labels, 'quantile', String(quantile))} ${seconds}`);
				}

				lines.push(`cowslipspar_${name}_sum${labels} ${sumUs / 1_000_000}`, `cowslipspar_${name}_count${labels} ${histogram.totalCount}`);
			}
		}

		return `${lines.join('\n')}\n`;
	}
}

function renderLabels(labels: Labels): string {
	const parts = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
	return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function withLabel(labels: string, name: string, value: string): string {
	const added = `${name}=${JSON.stringify(value)}`;
	return labels === '' ? `{${added}}` : `${labels.slice(0, -1)},${added}}`;
}

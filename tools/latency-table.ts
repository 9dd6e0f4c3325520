import {build, type Histogram} from 'hdr-histogram-js';
import {type Outcome} from '../src/contracts/outcome.js';

type Row = {sent: number; whole: number; notRun: number; unknown: number; wrong: number; readonly latency: Histogram};

type Summary = Readonly<Omit<Row, 'latency'>> & {readonly name: string; readonly p50Ms: number; readonly p99Ms: number};

/** Records outcomes and latencies by request class. */
export class LatencyTable {
	readonly #rows = new Map<string, Row>();

	/** Records one request. A complete response that belongs to another request counts as wrong. */
	add(name: string, outcome: Outcome, latencyMs: number, isOwnResponse: boolean): void {
		let row = this.#rows.get(name);
		if (row === undefined) {
			row = {
				sent: 0, whole: 0, notRun: 0, unknown: 0, wrong: 0, latency: build({numberOfSignificantValueDigits: 3, highestTrackableValue: 600_000_000}),
			};
			this.#rows.set(name, row);
		}

		row.sent++;
		switch (outcome.kind) {
			case 'whole': {
				row.whole++;
				row.wrong += isOwnResponse ? 0 : 1;
				row.latency.recordValue(Math.max(1, Math.round(latencyMs * 1000)));
				break;
			}

			case 'not-run': {
				row.notRun++;
				break;
			}

			case 'unknown': {
				row.unknown++;
				break;
			}
		}
	}

	summaries(): Summary[] {
		return [...this.#rows].toSorted(([a], [b]) => (a < b ? -1 : 1)).map(([name, {latency, ...counts}]) => ({
			name,
			...counts,
			p50Ms: latency.getValueAtPercentile(50) / 1000,
			p99Ms: latency.getValueAtPercentile(99) / 1000,
		}));
	}

	/** Returns the table as lines of text with aligned columns. */
	lines(): string[] {
		const head = 'CLASS                     SENT  WHOLE  NOT RUN  UNKNOWN  WRONG   P50 MS   P99 MS';
		return [head, ...this.summaries().map(row => [
			row.name.padEnd(22),
			String(row.sent).padStart(7),
			String(row.whole).padStart(6),
			String(row.notRun).padStart(8),
			String(row.unknown).padStart(8),
			String(row.wrong).padStart(6),
			row.p50Ms.toFixed(1).padStart(8),
			row.p99Ms.toFixed(1).padStart(8),
		].join(' '))];
	}
}

import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {formatIssue} from '../src/config/format-issue.js';
import {parseToml} from '../src/config/parse-toml.js';
import {outcomeChart} from './placement-model/outcome-chart.js';
import {playScenario} from './placement-model/placement-model.js';
import {Scenario} from './placement-model/scenario.js';

type PlacementOptions = {
	/** Scenario file (TOML). */
	readonly file: string;
	readonly seed: number;
	/** File for the chart, if one is wanted. */
	readonly svg: string | undefined;
};

type Summary = Awaited<ReturnType<typeof playScenario>>;

const columns = ['kind', 'region', 'sent', 'inAim', 'late', 'refused', 'failed', 'p50Ms', 'p99Ms', 'cold'] as const;
const columnWidth = 10;

/** Plays a scenario against the decisions of placement in virtual time, prints a table and returns what callers got. */
export async function measurePlacement({file, seed, svg}: PlacementOptions): Promise<Record<string, unknown>> {
	const scenario = parseToml(file, readFileSync(file, 'utf8'), Scenario);
	if (!scenario.success) {
		throw new Error(scenario.error.map(issue => formatIssue(issue)).join('\n'));
	}

	const summary = await playScenario(scenario.data, seed);
	process.stderr.write(`${tableOf(summary)}\n`);
	if (svg !== undefined) {
		writeFileSync(svg, outcomeChart(summary));
	}

	return {file, seed, ...summary};
}

function tableOf({rows}: Summary): string {
	return [columns.map(column => column.padStart(columnWidth)), ...rows.map(row => columns.map(column => String(row[column]).padStart(columnWidth)))]
		.map(cells => cells.join(' '))
		.join('\n');
}

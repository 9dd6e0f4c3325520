import {readdirSync, readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {parseToml} from '../src/config/parse-toml.js';
import {outcomeChart} from '../tools/placement-model/outcome-chart.js';
import {playScenario} from '../tools/placement-model/placement-model.js';
import {Scenario} from '../tools/placement-model/scenario.js';

const folder = 'examples/placement';

function scenarioOf(file: string): Scenario {
	const scenario = parseToml(file, readFileSync(`${folder}/${file}`, 'utf8'), Scenario);
	if (!scenario.success) {
		throw new Error(JSON.stringify(scenario.error));
	}

	return scenario.data;
}

describe('model of placement', () => {
	it.each(readdirSync(folder))('reads the scenario %s', file => {
		expect(scenarioOf(file).name).not.toBe('');
	});

	it('gives the same result for the same seed', async () => {
		const scenario = {...scenarioOf('small-region.toml'), seconds: 4};
		const first = await playScenario(scenario, 7);
		expect(await playScenario(scenario, 7)).toEqual(first);
		expect(await playScenario(scenario, 8)).not.toEqual(first);
		expect(outcomeChart(first)).toContain('<svg');
	});

	describe('under a load from a cold start on a region with a twelfth of the slots and a third of the traffic', () => {
		it.each([1, 2])('serves most callers of that region in aim, and not at the cost of the others, with seed %s', async seed => {
			const {rows} = await playScenario(scenarioOf('small-region.toml'), seed);
			const all = (region: string) => rows.find(row => row.kind === 'all' && row.region === region)!;
			expect(all('central').inAim).toBeGreaterThan(0.6);
			expect(all('central').refused).toBeLessThan(0.15);
			expect(all('north').inAim).toBeGreaterThan(0.7);
			expect(all('coast').inAim).toBeGreaterThan(0.75);
		});
	});
});

import * as echarts from 'echarts';
import {type summarize} from './summarize.js';

type Summary = ReturnType<typeof summarize>;

const size = {width: 960, height: 420};
const series = [
	{key: 'in_aim', name: 'in aim', color: '#4c8c4a'},
	{key: 'late', name: 'late', color: '#d9a441'},
	{key: 'refused', name: 'refused', color: '#5a7fb0'},
	{key: 'failed', name: 'failed', color: '#b04a4a'},
] as const;

/** Draws what callers got in each second of a play, as an SVG image. */
export function outcomeChart({scenario, bySecond}: Summary): string {
	const chart = echarts.init(null, null, {renderer: 'svg', ssr: true, ...size});
	chart.setOption({
		animation: false,
		title: {text: scenario, subtext: 'requests by the second in which they were sent'},
		legend: {top: 10, right: 10, data: series.map(({name}) => name)},
		xAxis: {type: 'category', name: 's', data: bySecond.map(({second}) => second)},
		yAxis: {type: 'value', name: 'requests'},
		series: series.map(({key, name, color}) => ({
			name, type: 'bar', stack: 'all', itemStyle: {color}, data: bySecond.map(entry => (entry as Record<string, number>)[key]),
		})),
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}

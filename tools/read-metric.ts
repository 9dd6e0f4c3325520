/** Sum of a metric over its labels, out of the Prometheus text format; `labels` narrows it to series that contain a text. */
export function readMetric(text: string, name: string, labels = ''): number {
	let sum = 0;
	for (const line of text.split('\n')) {
		const [series = '', value = ''] = line.split(' ');
		const isNamed = series === `cowslipspar_${name}` || series.startsWith(`cowslipspar_${name}{`);
		if (isNamed && series.includes(labels)) {
			sum += Number(value);
		}
	}

	return sum;
}

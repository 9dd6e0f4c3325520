/** Returns the sum of a metric's series in the Prometheus text format; `labels` selects those whose name with labels contains this text. */
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

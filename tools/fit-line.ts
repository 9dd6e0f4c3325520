type Point = {readonly x: number; readonly y: number};

/** Fits a line to points by least squares; returns its slope `perUnit` and its intercept `base`. */
export function fitLine(points: readonly Point[]): {readonly perUnit: number; readonly base: number} {
	const count = points.length;
	const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
	const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
	const numerator = points.reduce((sum, point) => sum + ((point.x - meanX) * (point.y - meanY)), 0);
	const denominator = points.reduce((sum, point) => sum + ((point.x - meanX) ** 2), 0);
	const perUnit = denominator === 0 ? 0 : numerator / denominator;
	return {perUnit, base: meanY - (perUnit * meanX)};
}

type Point = {readonly x: number; readonly y: number};

/** Least-squares line through some points. */
export function slope(points: readonly Point[]): {readonly perUnit: number; readonly base: number} {
	const count = points.length;
	const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
	const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
	const above = points.reduce((sum, point) => sum + ((point.x - meanX) * (point.y - meanY)), 0);
	const below = points.reduce((sum, point) => sum + ((point.x - meanX) ** 2), 0);
	const perUnit = below === 0 ? 0 : above / below;
	return {perUnit, base: meanY - (perUnit * meanX)};
}

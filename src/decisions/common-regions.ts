/** Returns the regions that both lists allow, where an empty list allows all; `undefined` if there is none. */
export function commonRegions(first: readonly string[], second: readonly string[]): readonly string[] | undefined {
	if (first.length === 0 || second.length === 0) {
		return first.length === 0 ? second : first;
	}

	const common = first.filter(region => second.includes(region));
	return common.length === 0 ? undefined : common;
}

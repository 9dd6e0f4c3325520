/** Returns the value of the first header called `name` (in lower case) in a list of alternating names and values. */
export function rawHeader(raw: readonly string[], name: string): string | undefined {
	const index = raw.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === name);
	return index === -1 ? undefined : raw[index + 1];
}

/** Value of the first header of a name, given in lower case, in a list of names and values in turn. */
export function rawHeader(raw: readonly string[], name: string): string | undefined {
	const index = raw.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === name);
	return index === -1 ? undefined : raw[index + 1];
}

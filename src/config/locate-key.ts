/** A table header; `line` starts at 0. */
type TableHeader = {readonly path: ReadonlyArray<string | number>; readonly line: number};

/** Returns the table headers of a TOML text in order. The path of an element of an array of tables ends with its index. */
function tableHeaders(lines: readonly string[]): TableHeader[] {
	const counts = new Map<string, number>();
	const headers: TableHeader[] = [];
	for (const [index, text] of lines.entries()) {
		const arrayName = /^\s*\[\[\s*([\w.-]+)\s*]]/.exec(text)?.[1];
		const tableName = /^\s*\[\s*([\w.-]+)\s*]/.exec(text)?.[1];
		if (arrayName !== undefined) {
			const count = counts.get(arrayName) ?? 0;
			counts.set(arrayName, count + 1);
			headers.push({path: [...arrayName.split('.'), count], line: index});
		} else if (tableName !== undefined) {
			headers.push({path: tableName.split('.'), line: index});
		}
	}

	return headers;
}

function isPrefix(prefix: ReadonlyArray<string | number>, path: ReadonlyArray<string | number>): boolean {
	return prefix.every((part, index) => part === path[index]);
}

function escapeForPattern(text: string): string {
	return text.replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`);
}

/** Returns the line, starting at 1, of the value at `path` in a TOML text, or of the closest table around it if the value has no line of its own. */
export function locateKey(text: string, path: ReadonlyArray<string | number>): number {
	const lines = text.split('\n');
	const headers = tableHeaders(lines);
	const enclosing = headers.filter(header => isPrefix(header.path, path)).toSorted((a, b) => b.path.length - a.path.length)[0];
	const first = enclosing === undefined ? 0 : enclosing.line + 1;
	const end = headers.find(header => header.line >= first)?.line ?? lines.length;
	const key = path[enclosing === undefined ? 0 : enclosing.path.length];
	if (typeof key === 'string') {
		const pattern = new RegExp(String.raw`^\s*"?${escapeForPattern(key)}"?\s*[.=]`);
		const found = lines.slice(first, end).findIndex(line => pattern.test(line));
		if (found !== -1) {
			return first + found + 1;
		}
	}

	const nested = headers.find(header => isPrefix(path, header.path));
	return (nested ?? enclosing ?? {line: 0}).line + 1;
}

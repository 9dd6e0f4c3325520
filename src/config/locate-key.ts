type Position = {readonly tables: ReadonlyArray<string | number>; readonly line: number};

/** Positions of the table headers of a TOML text, with an index for each array of tables. */
function tableHeaders(lines: readonly string[]): Position[] {
	const counts = new Map<string, number>();
	const headers: Position[] = [];
	for (const [index, text] of lines.entries()) {
		const many = /^\s*\[\[\s*([\w.-]+)\s*]]/.exec(text)?.[1];
		const one = /^\s*\[\s*([\w.-]+)\s*]/.exec(text)?.[1];
		if (many !== undefined) {
			const count = counts.get(many) ?? 0;
			counts.set(many, count + 1);
			headers.push({tables: [...many.split('.'), count], line: index});
		} else if (one !== undefined) {
			headers.push({tables: one.split('.'), line: index});
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

/** Finds the line, from 1, of the value at `path` in a TOML text, or of the nearest table around it. */
export function locateKey(text: string, path: ReadonlyArray<string | number>): number {
	const lines = text.split('\n');
	const headers = tableHeaders(lines);
	const around = headers.filter(header => isPrefix(header.tables, path)).toSorted((a, b) => b.tables.length - a.tables.length)[0];
	const first = around === undefined ? 0 : around.line + 1;
	const last = headers.find(header => header.line >= first)?.line ?? lines.length;
	const key = path[around === undefined ? 0 : around.tables.length];
	if (typeof key === 'string') {
		const pattern = new RegExp(String.raw`^\s*"?${escapeForPattern(key)}"?\s*[.=]`);
		const found = lines.slice(first, last).findIndex(line => pattern.test(line));
		if (found !== -1) {
			return first + found + 1;
		}
	}

	const below = headers.find(header => isPrefix(path, header.tables));
	return (below ?? around ?? {line: 0}).line + 1;
}

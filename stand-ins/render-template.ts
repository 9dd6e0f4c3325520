/** Value that a template refers to. */
type Field = string | number | boolean | readonly Field[] | {readonly [name: string]: Field};

type Scope = {readonly entry: Field; readonly key: string; readonly isLast: boolean; readonly parent: Scope | undefined};

const sectionPattern = /{{(?<mark>[#^])(?<name>[^}]+)}}(?<body>[\s\S]*?){{\/\k<name>}}/g;
const placeholderPattern = /{{(?<name>[^}#^/]+)}}/g;

/**
 * Fills a template as the platform does. Placeholders refer to values by path; a section is rendered once for each entry,
 * where `.` is the entry, `@` its key, and `,` a comma after every entry but the last.
 */
export function renderTemplate(template: string, fields: Field): string {
	return render(template, {
		entry: fields, key: '', isLast: true, parent: undefined,
	});
}

function render(template: string, scope: Scope): string {
	const withSections = template.replaceAll(sectionPattern, (_, mark: string, name: string, body: string) => {
		const field = resolveField(name, scope);
		const isPresent = field !== undefined && field !== false;
		if (mark === '^') {
			return isPresent ? '' : render(body, scope);
		}

		const entries = isPresent ? entriesOf(field) : [];
		return entries.map(([key, entry], index) => render(body, {
			entry, key, isLast: index === entries.length - 1, parent: scope,
		})).join('');
	});
	return withSections.replaceAll(placeholderPattern, (_, name: string) => renderPlaceholder(name, scope));
}

function renderPlaceholder(name: string, scope: Scope): string {
	switch (name) {
		case '@': {
			return scope.key;
		}

		case ',': {
			return scope.isLast ? '' : ',';
		}

		default: {
			return formatField(resolveField(name, scope));
		}
	}
}

function entriesOf(field: Field): Array<[key: string, entry: Field]> {
	return typeof field === 'object' ? Object.entries(field) : [['', field]];
}

/** Returns the field at a path in the innermost scope that has it. */
function resolveField(path: string, scope: Scope): Field | undefined {
	if (path === '.') {
		return scope.entry;
	}

	let field: Field | undefined = scope.entry;
	for (const part of path.split('.')) {
		field = typeof field === 'object' ? (field as Readonly<Record<string, Field>>)[part] : undefined;
	}

	return field ?? (scope.parent === undefined ? undefined : resolveField(path, scope.parent));
}

function formatField(field: Field | undefined): string {
	if (field === undefined) {
		return '';
	}

	if (Array.isArray(field)) {
		return field.map(item => formatField(item as Field)).join(',');
	}

	return typeof field === 'object' ? JSON.stringify(field) : String(field);
}

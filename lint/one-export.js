/** Returns the names that an export statement exports. */
function exportedNames(node) {
	if (node.type === 'ExportDefaultDeclaration') {
		return ['default'];
	}

	if (node.declaration?.declarations) {
		return node.declaration.declarations.map(item => item.id.name);
	}

	if (node.declaration) {
		return [node.declaration.id.name];
	}

	return node.specifiers.map(item => item.exported.name);
}

/** ESLint rule: a module exports one name, which a schema and its inferred type may share. The package's entry point is exempt. */
const rule = {
	meta: {type: 'suggestion', messages: {many: 'A module exports one name; this module already exports {{first}}.'}, schema: []},
	create(ctx) {
		if (ctx.filename.endsWith('src/index.ts')) {
			return {};
		}

		let first;
		function visit(node) {
			for (const name of exportedNames(node)) {
				first ??= name;
				if (name !== first) {
					ctx.report({node, messageId: 'many', data: {first}});
				}
			}
		}

		return {ExportNamedDeclaration: visit, ExportDefaultDeclaration: visit};
	},
};

export default rule;

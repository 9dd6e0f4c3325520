/** Names that one export statement brings out of its module. */
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

/** ESLint rule: a module exports one name; a schema and its inferred type share it. The package entry is exempt. */
const rule = {
	meta: {type: 'suggestion', messages: {many: 'One export a file: this module also exports {{first}}.'}, schema: []},
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

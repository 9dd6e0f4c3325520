import {mkdirSync, renameSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/** Defines `require` for CommonJS dependencies, since ES modules do not have it. */
const requireShim = 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);';

/** Excludes parts of libraries that the daemon never calls, since loading them would slow down each start. */
const excludeUnusedCode = {
	name: 'leaner',
	setup(bundler) {
		bundler.onResolve({filter: /^undici$/}, () => ({path: path.resolve('deploy/shims/undici-client.js')}));
		bundler.onResolve({filter: /\/locales\/index\.js$/}, () => ({path: 'locales', namespace: 'empty'}));
		bundler.onLoad({filter: /.*/, namespace: 'empty'}, () => ({contents: 'export {};'}));
	},
};

const {outputFiles} = await build({
	write: false,
	entryPoints: {cowslipspar: 'platform/start.ts'},
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	chunkNames: 'chunks/[name]-[hash]',
	bundle: true,
	splitting: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	sourcemap: 'linked',
	minifySyntax: true,
	minifyWhitespace: true,
	logLevel: 'error',
	banner: {js: requireShim},
	plugins: [excludeUnusedCode],
});

// A process that starts meanwhile reads whole files, the former ones or the new ones: the entry point is replaced last.
const isEntry = file => Number(path.basename(file).startsWith('cowslipspar.'));
for (const {path: file, contents} of outputFiles.toSorted((a, b) => isEntry(a.path) - isEntry(b.path))) {
	const temporary = `${file}.${process.pid}`;
	mkdirSync(path.dirname(file), {recursive: true});
	writeFileSync(temporary, contents, {mode: 0o755});
	renameSync(temporary, file);
}

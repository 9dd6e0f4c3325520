import {build} from 'esbuild';

/** CommonJS dependencies call `require`, which modules lack. */
const requireShim = 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);';

await build({
	entryPoints: ['platform/main.ts'],
	outfile: 'target/cowslipspar.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	sourcemap: 'linked',
	minifySyntax: true,
	minifyWhitespace: true,
	logLevel: 'error',
	banner: {js: requireShim},
});

import path from 'node:path';
import {build} from 'esbuild';

/** CommonJS dependencies call `require`, which modules lack. */
const requireShim = 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);';

/** Leaves out parts of libraries that the daemon never calls, since each restart pays for loading them. */
const leaner = {
	name: 'leaner',
	setup(bundler) {
		bundler.onResolve({filter: /^undici$/}, () => ({path: path.resolve('deploy/shims/undici-client.js')}));
		bundler.onResolve({filter: /\/locales\/index\.js$/}, () => ({path: 'locales', namespace: 'empty'}));
		bundler.onLoad({filter: /.*/, namespace: 'empty'}, () => ({contents: 'export {};'}));
	},
};

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
	plugins: [leaner],
});

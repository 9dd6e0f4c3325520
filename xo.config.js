import oneExport from './lint/one-export.js';
import platformNames from './lint/platform-names.js';
import pureDecisions from './lint/pure-decisions.js';

/** XO's rules, with the deviations that the house style asks for; docs/DESIGN.md lists them. */
const config = [
	{ignores: ['dist/**', 'docs/**', 'examples/**', 'target/**', 'journal/**', 'deploy/shims/**']},
	{
		plugins: {house: {rules: {'one-export': oneExport, 'platform-names': platformNames}}},
		rules: {
			// The house style keeps customary short names (`req`, `res`, `cfg`, `err`, `ctx`).
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Event loops and retries are sequential by intent.
			'no-await-in-loop': 'off',
			// A promise that nobody awaits still needs its handler.
			'promise/prefer-await-to-then': 'off',
			'house/one-export': 'error',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// A schema and the type inferred from it share one Pascal-case name.
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-redeclare': 'off',
			'@typescript-eslint/parameter-properties': 'off',
			'n/no-unsupported-features/node-builtins': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// Nested describe blocks are the house's arrangement of tests.
			'max-nested-callbacks': 'off',
		},
	},
	{
		files: ['tools/**/*.ts'],
		rules: {
			// Tools run several things side by side before they wait for them.
			'unicorn/prefer-top-level-await': 'off',
		},
	},
	{
		files: ['src/**/*.ts', 'tools/**/*.ts'],
		rules: {'house/platform-names': 'error'},
	},
	{
		files: ['src/decisions/**/*.ts'],
		ignores: ['**/*.test.ts'],
		rules: pureDecisions,
	},
];

export default config;

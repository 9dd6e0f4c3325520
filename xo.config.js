import oneExport from './lint/one-export.js';
import platformNames from './lint/platform-names.js';
import pureDecisions from './lint/pure-decisions.js';

/** XO's rules with the project's deviations, which docs/DESIGN.md lists. */
const config = [
	{ignores: ['dist/**', 'docs/**', 'examples/**', 'target/**', 'journal/**', 'deploy/shims/**']},
	{
		plugins: {house: {rules: {'one-export': oneExport, 'platform-names': platformNames}}},
		rules: {
			// Customary short names (`req`, `res`, `cfg`, `err`, `ctx`) are allowed.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Event loops and retries are sequential on purpose.
			'no-await-in-loop': 'off',
			// A promise that is not awaited still needs a rejection handler.
			'promise/prefer-await-to-then': 'off',
			'house/one-export': 'error',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// A schema and the type inferred from it share one name in Pascal case.
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-redeclare': 'off',
			'@typescript-eslint/parameter-properties': 'off',
			'n/no-unsupported-features/node-builtins': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// Tests are grouped in nested describe blocks.
			'max-nested-callbacks': 'off',
		},
	},
	{
		files: ['tools/**/*.ts'],
		rules: {
			// Tools start several tasks concurrently before they await them.
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

/** ESLint rules for src/decisions: no I/O, no clock, no unseeded randomness. */
const pureDecisions = {
	'no-restricted-imports': ['error', {
		patterns: [
			{group: ['node:*', 'undici', 'hono', 'hono/*', '@hono/*', '@trpc/*', 'winston', '@opentelemetry/*'], message: 'Decision modules do no I/O.'},
			{group: ['../services/*', '../adapters/*', '../kernel/*'], message: 'Decision modules depend on no service.'},
		],
	}],
	'no-restricted-globals': ['error', 'Date', 'performance', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'fetch', 'crypto', 'queueMicrotask'],
	'no-restricted-properties': ['error', {object: 'Math', property: 'random', message: 'Take randomness from a seeded generator.'}],
};

export default pureDecisions;

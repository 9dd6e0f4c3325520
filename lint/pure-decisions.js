/** ESLint rules that keep src/decisions free of I/O, clocks and unseeded randomness. */
const pureDecisions = {
	'no-restricted-imports': ['error', {
		patterns: [
			{group: ['node:*', 'undici', 'hono', 'hono/*', '@hono/*', '@trpc/*', 'winston', '@opentelemetry/*'], message: 'Decision modules perform no I/O.'},
			{group: ['../services/*', '../adapters/*', '../kernel/*'], message: 'Decision modules depend on no service, adapter or kernel module.'},
		],
	}],
	'no-restricted-globals': ['error', 'Date', 'performance', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'fetch', 'crypto', 'queueMicrotask'],
	'no-restricted-properties': ['error', {object: 'Math', property: 'random', message: 'Use a seeded generator for random numbers.'}],
};

export default pureDecisions;

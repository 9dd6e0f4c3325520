import {describe, expect, it} from 'vitest';
import {endMark} from './end-mark.js';

describe('endMark', () => {
	it.each(['1.0', '1.1'])('is a length to HTTP/%s wherever it is known', clientVersion => {
		expect(endMark({framing: 'length', clientVersion})).toBe('length');
	});

	it.each(['chunks', 'connection'] as const)('of a response that arrives framed by %s is never the end of the connection', framing => {
		expect(endMark({framing, clientVersion: '1.1'})).toBe('chunks');
		expect(endMark({framing, clientVersion: '1.0'})).toBe('length_once_whole');
	});
});

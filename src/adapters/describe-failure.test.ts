import {describe, expect, it} from 'vitest';
import {describeFailure} from './describe-failure.js';

const failureOf = (code: string, syscall: string) => describeFailure(Object.assign(new Error(`${syscall} ${code}`), {code, syscall}));

describe('describeFailure', () => {
	it('does not take a request as lost whose connection is reset while it opens', () => {
		expect(failureOf('ECONNRESET', 'connect')).toEqual({kind: 'not_sent', detail: 'ECONNRESET: connect ECONNRESET'});
		expect(failureOf('ETIMEDOUT', 'connect').kind).toBe('not_sent');
	});

	it.each(['read', 'write'])('takes a request as lost whose connection is reset in a %s', syscall => {
		expect(failureOf('ECONNRESET', syscall).kind).toBe('lost');
	});

	it('does not take a request as lost to which the server sent bytes that are no response', () => {
		expect(describeFailure(Object.assign(new Error('Expected HTTP/'), {name: 'HTTPParserError'})).kind).toBe('broken');
	});

	it('takes a request as lost whose connection ends within the response', () => {
		expect(describeFailure(Object.assign(new Error('Invalid EOF state'), {name: 'HTTPParserError'})).kind).toBe('lost');
	});

	it('takes a request as lost after an error without a code', () => {
		expect(describeFailure('closed').kind).toBe('lost');
	});
});

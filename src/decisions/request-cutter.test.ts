import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RequestCutter} from './request-cutter.js';

type Ends = {readonly headEnds: readonly number[]; readonly bodyEnds: readonly number[]};
type SentRequest = {readonly path: string; readonly body: string; readonly isChunked: boolean};

const requests = fc.array(fc.record({
	path: fc.stringMatching(/^[a-z]{0,300}$/), body: fc.stringMatching(/^[a-z\r\n]{0,80}$/), isChunked: fc.boolean(),
}), {maxLength: 12});

const encode = (text: string) => new TextEncoder().encode(text);

const textOf = ({path, body, isChunked}: SentRequest) => `POST /${path} HTTP/1.1\r\nHost: x\r\n${isChunked
	? `Transfer-Encoding: chunked\r\n\r\n${body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`
	: `Content-Length: ${body.length}\r\n\r\n${body}`}`;

/** Passes the bytes on in parts, and tells the cutter of each head that a part ends with. */
function cutAll(bytes: Uint8Array, sent: readonly SentRequest[], receivedAtOnce: number): Array<{readonly heads: number; readonly length: number}> {
	const cutter = new RequestCutter();
	const text = new TextDecoder('latin1').decode(bytes);
	const headEnds: number[] = [];
	const bodyEnds: number[] = [];
	let position = 0;
	for (const request of sent) {
		headEnds.push(text.indexOf('\r\n\r\n', position) + 4);
		position += textOf(request).length;
		bodyEnds.push(position);
	}

	const parts = [];
	for (let begin = 0, length = 0; begin < bytes.length; begin += length) {
		length = cutter.cut(bytes.subarray(begin, begin + receivedAtOnce));
		parts.push({heads: tellCutter(cutter, sent, {headEnds, bodyEnds}, {begin, end: begin + length}), length});
	}

	return parts;
}

/** Tells the cutter what a parser reads in a part; returns the number of heads that end in it. */
function tellCutter(cutter: RequestCutter, sent: readonly SentRequest[], {headEnds, bodyEnds}: Ends, part: {readonly begin: number; readonly end: number}): number {
	const isInPart = (position: number) => position > part.begin && position <= part.end;
	let heads = 0;
	for (const [index, {isChunked, body}] of sent.entries()) {
		if (isInPart(headEnds[index]!)) {
			heads++;
			cutter.beginBody(isChunked ? {kind: 'chunks'} : {kind: 'length', bytes: body.length});
		}

		if (isChunked && isInPart(bodyEnds[index]!)) {
			cutter.endBody();
		}
	}

	return heads;
}

// Guards against requests that are read though the connection already has as many as it may.
describe('the parts of a connection\'s bytes', () => {
	it('are never empty, and contain each byte once', () => {
		fc.assert(fc.property(requests, fc.integer({min: 1, max: 3000}), (sent, receivedAtOnce) => {
			const bytes = encode(sent.map(request => textOf(request)).join(''));
			const parts = cutAll(bytes, sent, receivedAtOnce);
			expect(parts.every(({length}) => length > 0)).toBe(true);
			expect(parts.reduce((sum, {length}) => sum + length, 0)).toBe(bytes.length);
		}), {seed: 3});
	});

	it('contain one request head at most, if no body comes in chunks', () => {
		fc.assert(fc.property(requests, fc.integer({min: 100, max: 3000}), (all, receivedAtOnce) => {
			const sent = all.map(request => ({...request, isChunked: false}));
			const bytes = encode(sent.map(request => textOf(request)).join(''));
			expect(cutAll(bytes, sent, receivedAtOnce).every(({heads}) => heads <= 1)).toBe(true);
		}), {seed: 4});
	});

	it('contain few request heads behind a body in chunks', () => {
		const cutter = new RequestCutter();
		cutter.beginBody({kind: 'chunks'});
		const bytes = encode(`0\r\n\r\n${'GET / HTTP/1.1\r\nHost:\r\n\r\n'.repeat(2000)}`);
		expect(cutter.cut(bytes)).toBeLessThan(600);
	});

	it('end at a head whose lines end with line feeds alone', () => {
		expect(new RequestCutter().cut(encode('GET / HTTP/1.1\nHost: x\n\nGET / HTTP/1.1\n'))).toBe(24);
	});

	it('are as long as the body allows, so that an upload is not read in small parts', () => {
		const cutter = new RequestCutter();
		cutter.beginBody({kind: 'length', bytes: 100_000});
		expect(cutter.cut(encode('\r\n'.repeat(32_768)))).toBe(65_536);
		expect(cutter.cut(encode('\r\n'.repeat(32_768)))).toBe(34_464);
		expect(cutter.isInBody).toBe(false);
	});
});

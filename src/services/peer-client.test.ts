import {
	afterEach, describe, expect, it,
} from 'vitest';
import {nextLoopbackAddress} from '../../test/next-loopback-address.js';
import {RawServer} from '../../test/raw-server.js';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {PeerClient} from './peer-client.js';

const port = 7000;
const head = {
	requestId: 'r1', service: 's', className: 'c', method: 'POST', path: '/', remainingMs: 200, headers: {}, region: 'dsm', caller: '', fingerprint: '',
};

function frame(value: unknown): string {
	return `cowslipspar-frame: ${encodeURIComponent(JSON.stringify(value))}\r\n`;
}

function httpResponse(headers: string, body = ''): string {
	return `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
}

const id = 'x-request-id: r1\r\n';
const wholeFrame = frame({
	kind: 'whole', status: 200, headers: {}, isReplay: false,
});
const refusedFrame = frame({
	kind: 'not-run', reason: 'not_owner', detail: '', retryAfterMs: 0,
});

describe('PeerClient', () => {
	const client = new PeerClient(monotonicClock, 1000);
	let server: RawServer | undefined;

	afterEach(async () => {
		client.close();
		await server?.close();
		server = undefined;
	});

	async function forwardTo(response: string | undefined, isClosing = false) {
		const host = nextLoopbackAddress();
		server = new RawServer(() => response, isClosing);
		await server.listen(host, port);
		return client.forward({address: `${host}:${port}`, role: 'owner'}, head, new Uint8Array([1]), new AbortController().signal);
	}

	it.each([
		{name: 'a complete response', response: httpResponse(id + wholeFrame, 'body'), result: {kind: 'outcome', outcome: {kind: 'whole'}}},
		{name: 'a refusal', response: httpResponse(id + refusedFrame), result: {kind: 'outcome', outcome: {kind: 'not-run', reason: 'not_owner'}}},
	])('returns the outcome of $name', async ({response, result}) => {
		expect(await forwardTo(response)).toMatchObject(result);
	});

	it.each([
		{name: 'a response without a frame', response: httpResponse(id)},
		{name: 'a frame of an unexpected shape', response: httpResponse(id + frame({kind: 'perhaps'}))},
		{name: 'a frame that is not JSON', response: httpResponse(`${id}cowslipspar-frame: {\r\n`)},
		{name: 'a refusal with the id of another request', response: httpResponse(`x-request-id: r2\r\n${refusedFrame}`)},
		{name: 'a refusal without a request id', response: httpResponse(refusedFrame)},
		{name: 'a truncated response', response: `HTTP/1.1 200 OK\r\n${id}${wholeFrame}content-length: 50\r\n\r\nhalf`, isClosing: true},
		{name: 'a response above the size limit', response: httpResponse(id + wholeFrame, 'x'.repeat(2000))},
		{name: 'a missing response', response: undefined},
		{name: 'a response that is not HTTP', response: 'hello\r\n\r\n'},
	])('reports the request as lost and closes the connection after $name', async ({response, isClosing}) => {
		expect(await forwardTo(response, isClosing ?? false)).toMatchObject({kind: 'lost'});
		expect(client.connections).toBe(0);
	});

	it('reports that nothing was sent when the peer does not accept connections', async () => {
		const result = await client.forward({address: `${nextLoopbackAddress()}:${port}`, role: 'owner'}, head, new Uint8Array(), new AbortController().signal);
		expect(result).toMatchObject({kind: 'not_sent'});
	});

	it('rejects a control call whose response has an unexpected shape', async () => {
		const host = nextLoopbackAddress();
		server = new RawServer(() => httpResponse('', '{"no":"answer"}'));
		await server.listen(host, port);
		await expect(client.control(`${host}:${port}`).hostStatus.query()).rejects.toThrow();
	});
});

import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {Caller} from '../src/caller.js';
import {tokenWire} from '../src/services/token-wire.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {RawServer} from './raw-server.js';
import {SmallSystem} from './small-system.js';

type Headers = Readonly<Record<string, string>>;

describe('callers\' HTTP interface', () => {
	const system = new SmallSystem({regions: {dsm: 2}, instances: 2});
	let baseUrl: string;

	beforeAll(async () => {
		await system.start();
		baseUrl = `http://${system.hosts[0]!.settings.listen.callers}`;
	});

	afterAll(async () => system.close());

	async function call(path: string, headers: Headers, body = 'x', method: 'GET' | 'POST' = 'POST') {
		const res = await request(`${baseUrl}${path}`, {method, headers, body: method === 'GET' ? undefined : body});
		return {status: res.statusCode, headers: res.headers, body: await res.body.text()};
	}

	describe('lookups', () => {
		it('returns the hosts, a cache time and a token', async () => {
			const res = await call('/v1/lookup/bids', {}, '', 'GET');
			expect(res.status).toBe(200);
			const response = JSON.parse(res.body) as {hosts: Array<{address: string}>; ttlMs: number; token: string};
			expect(response.hosts.map(host => host.address).toSorted()).toEqual(system.hosts.map(host => host.settings.listen.callers).toSorted());
			expect(response.ttlMs).toBe(200);
			expect(response.token.length).toBeGreaterThan(10);
		});

		it('refuses an unknown service', async () => {
			const res = await call('/v1/lookup/nothing', {}, '', 'GET');
			expect(res.status).toBe(404);
			expect(res.headers['cowslipspar-outcome']).toBe('not-run');
		});
	});

	describe('requests', () => {
		it('returns the complete response with the outcome "whole"', async () => {
			const res = await call('/v1/call/bids/lots?x=1', {'cowslipspar-class': 'read'}, 'my body');
			expect(res).toMatchObject({status: 200, headers: {'cowslipspar-outcome': 'whole'}});
			expect(JSON.parse(res.body)).toMatchObject({echo: 'my body', path: '/lots?x=1'});
		});

		it('replays the response recorded for an idempotency key', async () => {
			const lookup = await call('/v1/lookup/bids', {}, '', 'GET');
			const {token} = JSON.parse(lookup.body) as {token: string};
			const headers = {'cowslipspar-class': 'bid', 'idempotency-key': `${token}.one`};
			const first = await call('/v1/call/bids/bid', headers);
			const second = await call('/v1/call/bids/bid', headers);
			expect(first.headers['cowslipspar-outcome']).toBe('whole');
			expect(second.headers).toMatchObject({'cowslipspar-outcome': 'whole', 'cowslipspar-replay': '1'});
			expect(second.body).toBe(first.body);
			expect(system.runsByKey().get(headers['idempotency-key'])).toBe(1);
		});
	});

	describe('refusals', () => {
		const read = {'cowslipspar-class': 'read'};

		it.each([
			{
				name: 'an unknown service', path: '/v1/call/nothing/x', headers: read, status: 404, reason: 'unknown_service',
			},
			{
				name: 'a service named like a property', path: '/v1/call/constructor/x', headers: read, status: 404, reason: 'unknown_service',
			},
			{
				name: 'a missing class', path: '/v1/call/bids/x', headers: {}, status: 400, reason: 'unknown_class',
			},
			{
				name: 'an unknown class', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'toString'}, status: 400, reason: 'unknown_class',
			},
			{
				name: 'an expired deadline', path: '/v1/call/bids/x', headers: {...read, 'cowslipspar-deadline-ms': '0'}, status: 408, reason: 'deadline_expired',
			},
			{
				name: 'a deadline that is not a number', path: '/v1/call/bids/x', headers: {...read, 'cowslipspar-deadline-ms': 'soon'}, status: 400, reason: 'bad_request',
			},
			{
				name: 'a deadline that cannot be met', path: '/v1/call/bids/x', headers: {...read, 'cowslipspar-deadline-ms': '1'}, status: 503, reason: 'deadline_unreachable',
			},
			{
				name: 'a missing idempotency key', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'bid'}, status: 400, reason: 'key_required',
			},
			{
				name: 'an idempotency key without a token', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'bid', 'idempotency-key': 'mine'}, status: 422, reason: 'key_invalid',
			},
			{
				name: 'an idempotency key with an invalid token', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'bid', 'idempotency-key': 'AAAA.mine'}, status: 422, reason: 'key_invalid',
			},
			{
				name: 'a path outside the interface', path: '/else', headers: read, status: 400, reason: 'bad_request',
			},
			{
				name: 'a path that is too long', path: `/v1/call/bids/${'x'.repeat(3000)}`, headers: read, status: 413, reason: 'too_large',
			},
		])('refuses $name', async ({path, headers, status, reason}) => {
			const res = await call(path, headers as Headers);
			expect(res.status).toBe(status);
			expect(res.headers).toMatchObject({'cowslipspar-outcome': 'not-run', 'cowslipspar-reason': reason, 'content-type': 'application/problem+json'});
			expect(JSON.parse(res.body)).toMatchObject({type: `urn:cowslipspar:problem:${reason}`, status});
		});

		it('refuses a body that is too large, by its content length or as it is received', async () => {
			const declared = await call('/v1/call/bids/x', read, 'x'.repeat(10_001));
			expect(declared).toMatchObject({status: 413, headers: {'cowslipspar-reason': 'too_large'}});
			const chunks = Array.from({length: 20}, () => Buffer.alloc(1000));
			const streamed = await request(`${baseUrl}/v1/call/bids/x`, {method: 'POST', headers: read, body: Readable.from(chunks)});
			expect(streamed.headers['cowslipspar-reason']).toBe('too_large');
		});

		it('refuses headers that are too large and serves the next request', async () => {
			await expect(call('/v1/call/bids/x', {...read, 'x-large': 'y'.repeat(20_000)})).resolves.toMatchObject({status: 431});
			await expect(call('/v1/call/bids/x', read)).resolves.toMatchObject({status: 200});
		});

		it('refuses a token in a non-canonical encoding', async () => {
			const lookup = await call('/v1/lookup/bids', {}, '', 'GET');
			const {token} = JSON.parse(lookup.body) as {token: string};
			const res = await call('/v1/call/bids/x', {'cowslipspar-class': 'bid', 'idempotency-key': `${token}x.part`});
			expect(res.headers['cowslipspar-reason']).toBe('key_invalid');
		});

		it('does not connect to an address only because a token contains it', async () => {
			const host = nextLoopbackAddress();
			const server = new RawServer(() => undefined);
			await server.listen(host, 7000);
			const forged = tokenWire.encode({
				id: 'forged', home: 'x/1', homeAddress: `${host}:7000`, backup: 'y/1', backupAddress: `${host}:7000`,
			});
			const res = await call('/v1/call/bids/x', {'cowslipspar-class': 'bid', 'idempotency-key': `${forged}.part`});
			expect(res.headers['cowslipspar-outcome']).toBe('unknown');
			expect(server.connections).toBe(0);
			await server.close();
		});
	});

	describe('slow and disconnecting callers', () => {
		it('serves other callers while one sends its body slowly', async () => {
			const [host, port] = system.hosts[0]!.settings.listen.callers.split(':');
			const socket = connect(Number(port), host);
			socket.on('error', () => undefined);
			socket.write('POST /v1/call/bids/x HTTP/1.1\r\nhost: x\r\ncowslipspar-class: read\r\ncontent-length: 100\r\n\r\nab');
			await delay(50);
			await expect(call('/v1/call/bids/x', {'cowslipspar-class': 'read'})).resolves.toMatchObject({status: 200});
			expect(system.hosts[0]!.kernel.get('gateway').inFlight).toBe(0);
			socket.destroy();
		});

		it('frees the slot when a caller disconnects', async () => {
			const controller = new AbortController();
			const sending = request(`${baseUrl}/v1/call/bids/x?ms=100000`, {
				method: 'POST', headers: {'cowslipspar-class': 'archive'}, body: 'x', signal: controller.signal,
			});
			await system.until('the request is pending', () => system.hosts.some(host => host.kernel.get('dispatch').pending > 0));
			controller.abort();
			await expect(sending).rejects.toThrow();
			await system.until('no request is pending', () => system.hosts.every(host => host.kernel.get('dispatch').pending === 0));
			const cancelled = () => system.upstreams.reduce((sum, item) => sum + item.standIn.counts.cancelled, 0);
			await system.until('the upstream has cancelled the request', () => cancelled() > 0);
			expect(cancelled()).toBe(1);
		});
	});

	describe('caller library', () => {
		it('retries with the same idempotency key at another host when one stops responding', async () => {
			const host = nextLoopbackAddress();
			const otherAddress = system.hosts[1]!.settings.listen.callers;
			const token = system.hosts[1]!.kernel.get('home').token!;
			const lookupResponse = JSON.stringify({
				service: 'bids', hosts: [{address: `${host}:7000`, region: 'dsm', zone: 'dsm-a'}, {address: otherAddress, region: 'dsm', zone: 'dsm-b'}], ttlMs: 10_000, token, revision: 1,
			});
			let isSilent = false;
			const server = new RawServer(text => {
				const isLookup = text.includes('/lookup/');
				const response = isLookup && !isSilent ? `HTTP/1.1 200 OK\r\ncontent-length: ${lookupResponse.length}\r\n\r\n${lookupResponse}` : undefined;
				isSilent ||= !isLookup;
				return response;
			});
			await server.listen(host, 7000);
			const caller = new Caller({hosts: [`${host}:7000`]});
			const outcome = await caller.send({
				service: 'bids', className: 'bid', body: Buffer.from('silent'), deadlineMs: 5000, isRepeatable: false,
			});
			expect(outcome.kind).toBe('whole');
			caller.close();
			await server.close();
		});

		const wholeHead = 'HTTP/1.1 200 OK\r\ncowslipspar-outcome: whole\r\n';

		it.each([
			{name: 'a truncated response', response: `${wholeHead}content-length: 50\r\n\r\nhalf`},
			{name: 'a response that does not match its digest', response: `${wholeHead}content-digest: sha-256=:AAAA:\r\ncontent-length: 4\r\n\r\nhalf`},
			{name: 'a response without an outcome', response: 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhalf'},
			{name: 'an unknown outcome', response: 'HTTP/1.1 200 OK\r\ncowslipspar-outcome: perhaps\r\ncontent-length: 4\r\n\r\nhalf'},
		])('does not report $name as whole', async ({response}) => {
			const host = nextLoopbackAddress();
			const lookupResponse = JSON.stringify({
				service: 'bids', hosts: [{address: `${host}:7000`, region: 'dsm', zone: 'dsm-a'}], ttlMs: 1000, token: 'abc', revision: 1,
			});
			const server = new RawServer(text => (text.includes('/lookup/') ? `HTTP/1.1 200 OK\r\ncontent-length: ${lookupResponse.length}\r\n\r\n${lookupResponse}` : response));
			await server.listen(host, 7000);
			const caller = new Caller({hosts: [`${host}:7000`]});
			const outcome = await caller.send({
				service: 'bids', className: 'bid', body: Buffer.from('x'), deadlineMs: 400, isRepeatable: false,
			});
			expect(outcome.kind).toBe('unknown');
			caller.close();
			await server.close();
		});
	});
});

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
import {loopback} from './loopback.js';
import {RawServer} from './raw-server.js';
import {SmallSystem} from './small-system.js';

type Headers = Readonly<Record<string, string>>;

describe('callers\' interface', () => {
	const system = new SmallSystem({regions: {dsm: 2}, instances: 2});
	let base: string;

	beforeAll(async () => {
		await system.start();
		base = `http://${system.hosts[0]!.settings.listen.callers}`;
	});

	afterAll(async () => system.close());

	async function call(path: string, headers: Headers, body = 'x', method: 'GET' | 'POST' = 'POST') {
		const res = await request(`${base}${path}`, {method, headers, body: method === 'GET' ? undefined : body});
		return {status: res.statusCode, headers: res.headers, body: await res.body.text()};
	}

	describe('look-ups', () => {
		it('answers the hosts, a cache time and a token', async () => {
			const res = await call('/v1/lookup/bids', {}, '', 'GET');
			expect(res.status).toBe(200);
			const answer = JSON.parse(res.body) as {hosts: Array<{address: string}>; ttlMs: number; token: string};
			expect(answer.hosts.map(host => host.address).toSorted()).toEqual(system.hosts.map(host => host.settings.listen.callers).toSorted());
			expect(answer.ttlMs).toBe(200);
			expect(answer.token.length).toBeGreaterThan(10);
		});

		it('refuses an unknown service', async () => {
			const res = await call('/v1/lookup/nothing', {}, '', 'GET');
			expect(res.status).toBe(404);
			expect(res.headers['cowslipspar-outcome']).toBe('not-run');
		});
	});

	describe('requests', () => {
		it('brings a whole answer and says so', async () => {
			const res = await call('/v1/call/bids/lots?x=1', {'cowslipspar-class': 'read'}, 'my body');
			expect(res).toMatchObject({status: 200, headers: {'cowslipspar-outcome': 'whole'}});
			expect(JSON.parse(res.body)).toMatchObject({echo: 'my body', path: '/lots?x=1'});
		});

		it('replays the answer of a key', async () => {
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
				name: 'no class', path: '/v1/call/bids/x', headers: {}, status: 400, reason: 'unknown_class',
			},
			{
				name: 'an unknown class', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'toString'}, status: 400, reason: 'unknown_class',
			},
			{
				name: 'a deadline that passed', path: '/v1/call/bids/x', headers: {...read, 'cowslipspar-deadline-ms': '0'}, status: 408, reason: 'deadline_expired',
			},
			{
				name: 'a deadline that is no number', path: '/v1/call/bids/x', headers: {...read, 'cowslipspar-deadline-ms': 'soon'}, status: 400, reason: 'bad_request',
			},
			{
				name: 'a deadline that cannot be met', path: '/v1/call/bids/x', headers: {...read, 'cowslipspar-deadline-ms': '1'}, status: 503, reason: 'deadline_unreachable',
			},
			{
				name: 'no key where one is needed', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'bid'}, status: 400, reason: 'key_required',
			},
			{
				name: 'a key without a token', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'bid', 'idempotency-key': 'mine'}, status: 422, reason: 'key_invalid',
			},
			{
				name: 'a key with a broken token', path: '/v1/call/bids/x', headers: {'cowslipspar-class': 'bid', 'idempotency-key': 'AAAA.mine'}, status: 422, reason: 'key_invalid',
			},
			{
				name: 'a path that is no path of the interface', path: '/else', headers: read, status: 400, reason: 'bad_request',
			},
			{
				name: 'too long a path', path: `/v1/call/bids/${'x'.repeat(3000)}`, headers: read, status: 413, reason: 'too_large',
			},
		])('refuses $name', async ({path, headers, status, reason}) => {
			const res = await call(path, headers as Headers);
			expect(res.status).toBe(status);
			expect(res.headers).toMatchObject({'cowslipspar-outcome': 'not-run', 'cowslipspar-reason': reason, 'content-type': 'application/problem+json'});
			expect(JSON.parse(res.body)).toMatchObject({type: `urn:cowslipspar:problem:${reason}`, status});
		});

		it('refuses a body that is too large, said or sent', async () => {
			const said = await call('/v1/call/bids/x', read, 'x'.repeat(10_001));
			expect(said).toMatchObject({status: 413, headers: {'cowslipspar-reason': 'too_large'}});
			const chunks = Array.from({length: 20}, () => Buffer.alloc(1000));
			const sent = await request(`${base}/v1/call/bids/x`, {method: 'POST', headers: read, body: Readable.from(chunks)});
			expect(sent.headers['cowslipspar-reason']).toBe('too_large');
		});

		it('refuses headers that are too large and goes on serving', async () => {
			await expect(call('/v1/call/bids/x', {...read, 'x-large': 'y'.repeat(20_000)})).resolves.toMatchObject({status: 431});
			await expect(call('/v1/call/bids/x', read)).resolves.toMatchObject({status: 200});
		});

		it('refuses a token in another spelling', async () => {
			const lookup = await call('/v1/lookup/bids', {}, '', 'GET');
			const {token} = JSON.parse(lookup.body) as {token: string};
			const res = await call('/v1/call/bids/x', {'cowslipspar-class': 'bid', 'idempotency-key': `${token}x.part`});
			expect(res.headers['cowslipspar-reason']).toBe('key_invalid');
		});

		it('connects to no address on a token\'s word alone', async () => {
			const place = loopback();
			const server = new RawServer(() => undefined);
			await server.listen(place, 7000);
			const forged = tokenWire.encode({
				id: 'forged', home: 'x/1', homeAddress: `${place}:7000`, backup: 'y/1', backupAddress: `${place}:7000`,
			});
			const res = await call('/v1/call/bids/x', {'cowslipspar-class': 'bid', 'idempotency-key': `${forged}.part`});
			expect(res.headers['cowslipspar-outcome']).toBe('unknown');
			expect(server.connections).toBe(0);
			await server.close();
		});
	});

	describe('slow and leaving senders', () => {
		it('does not let a slow sender hold up the others', async () => {
			const [host, port] = system.hosts[0]!.settings.listen.callers.split(':');
			const socket = connect(Number(port), host);
			socket.on('error', () => undefined);
			socket.write('POST /v1/call/bids/x HTTP/1.1\r\nhost: x\r\ncowslipspar-class: read\r\ncontent-length: 100\r\n\r\nab');
			await delay(50);
			await expect(call('/v1/call/bids/x', {'cowslipspar-class': 'read'})).resolves.toMatchObject({status: 200});
			expect(system.hosts[0]!.kernel.get('gateway').inFlight).toBe(0);
			socket.destroy();
		});

		it('frees the slot of a caller who left', async () => {
			const controller = new AbortController();
			const sending = request(`${base}/v1/call/bids/x?ms=100000`, {
				method: 'POST', headers: {'cowslipspar-class': 'archive'}, body: 'x', signal: controller.signal,
			});
			await system.until('it runs', () => system.hosts.some(host => host.kernel.get('dispatch').pending > 0));
			controller.abort();
			await expect(sending).rejects.toThrow();
			await system.until('its slot is free', () => system.hosts.every(host => host.kernel.get('dispatch').pending === 0));
			const cancelled = () => system.upstreams.reduce((sum, item) => sum + item.standIn.counts.cancelled, 0);
			await system.until('its upstream saw the connection close', () => cancelled() > 0);
			expect(cancelled()).toBe(1);
		});
	});

	describe('the caller library', () => {
		it('asks another host when one falls silent, under the same key', async () => {
			const place = loopback();
			const other = system.hosts[1]!.settings.listen.callers;
			const token = system.hosts[1]!.kernel.get('home').token!;
			const found = JSON.stringify({
				service: 'bids', hosts: [{address: `${place}:7000`, region: 'dsm', zone: 'dsm-a'}, {address: other, region: 'dsm', zone: 'dsm-b'}], ttlMs: 10_000, token, revision: 1,
			});
			let isSilent = false;
			const server = new RawServer(text => {
				const isLookup = text.includes('/lookup/');
				const answer = isLookup && !isSilent ? `HTTP/1.1 200 OK\r\ncontent-length: ${found.length}\r\n\r\n${found}` : undefined;
				isSilent ||= !isLookup;
				return answer;
			});
			await server.listen(place, 7000);
			const caller = new Caller({hosts: [`${place}:7000`]});
			const outcome = await caller.send({
				service: 'bids', className: 'bid', body: Buffer.from('silent'), deadlineMs: 5000, isRepeatable: false,
			});
			expect(outcome.kind).toBe('whole');
			caller.close();
			await server.close();
		});

		const whole = 'HTTP/1.1 200 OK\r\ncowslipspar-outcome: whole\r\n';

		it.each([
			{name: 'a truncated answer', answer: `${whole}content-length: 50\r\n\r\nhalf`},
			{name: 'an answer that does not match its digest', answer: `${whole}content-digest: sha-256=:AAAA:\r\ncontent-length: 4\r\n\r\nhalf`},
			{name: 'an answer without an outcome', answer: 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhalf'},
			{name: 'an unknown outcome', answer: 'HTTP/1.1 200 OK\r\ncowslipspar-outcome: perhaps\r\ncontent-length: 4\r\n\r\nhalf'},
		])('never takes $name for whole', async ({answer}) => {
			const place = loopback();
			const found = JSON.stringify({
				service: 'bids', hosts: [{address: `${place}:7000`, region: 'dsm', zone: 'dsm-a'}], ttlMs: 1000, token: 'abc', revision: 1,
			});
			const server = new RawServer(text => (text.includes('/lookup/') ? `HTTP/1.1 200 OK\r\ncontent-length: ${found.length}\r\n\r\n${found}` : answer));
			await server.listen(place, 7000);
			const caller = new Caller({hosts: [`${place}:7000`]});
			const outcome = await caller.send({
				service: 'bids', className: 'bid', body: Buffer.from('x'), deadlineMs: 400, isRepeatable: false,
			});
			expect(outcome.kind).toBe('unknown');
			caller.close();
			await server.close();
		});
	});
});

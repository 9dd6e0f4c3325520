import {describe, expect, it} from 'vitest';
import {HostListStandIn} from '../../stand-ins/host-list-stand-in.js';
import {nextLoopbackAddress} from '../../test/next-loopback-address.js';
import {RawServer} from '../../test/raw-server.js';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {SdHostList} from '../adapters/sd-host-list.js';

const listed = {
	address: '10.0.0.1:7201', role: 'entry', state: 'live', region: 'dsm', zone: 'dsm-a',
} as const;

describe('host list contract', () => {
	it('returns the listed hosts with role and state', async () => {
		const host = nextLoopbackAddress();
		const standIn = new HostListStandIn(0);
		await standIn.listen(host, 7000);
		standIn.setHosts([listed, {...listed, address: '10.0.0.2:7201', state: 'leaving'}]);
		const list = new SdHostList({address: `${host}:7000`, timeoutMs: 300, clock: monotonicClock});
		expect(await list.fetch()).toEqual({success: true, data: [listed, {...listed, address: '10.0.0.2:7201', state: 'leaving'}]});
		standIn.setOutage(true);
		expect(await list.fetch()).toMatchObject({success: false, error: {code: 'unavailable'}});
		list.close();
		await standIn.close();
	});

	it.each([
		{name: 'a body that is not JSON', body: '[', code: 'invalid_answer'},
		{name: 'an unknown state', body: '[{"targets":["a"],"labels":{"role":"entry","state":"dead","region":"r","zone":"z"}}]', code: 'invalid_answer'},
		{name: 'no response', body: undefined, code: 'unavailable'},
	])('returns an error for $name', async ({body, code}) => {
		const host = nextLoopbackAddress();
		const server = new RawServer(() => (body === undefined ? undefined : `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`));
		await server.listen(host, 7000);
		const list = new SdHostList({address: `${host}:7000`, timeoutMs: 200, clock: monotonicClock});
		expect(await list.fetch()).toMatchObject({success: false, error: {code}});
		list.close();
		await server.close();
	});
});

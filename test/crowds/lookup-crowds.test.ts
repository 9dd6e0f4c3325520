import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Crowd} from './crowd.js';
import {CrowdHost} from './crowd-host.js';
import {goodReport} from './good-report.js';

const connections = 200;
const requestsPerConnection = 2000;

describe('a host stays in service within its memory while many clients pipeline requests and read no response', () => {
	let host: CrowdHost;
	let crowd: Crowd;

	beforeEach(async () => {
		host = await CrowdHost.start();
	});

	afterEach(async () => {
		crowd.close();
		await host.close();
	});

	it.each([
		['directory', '/-/resolve?zone=dsm-a'],
		['readiness', '/-/readyz'],
	] as const)('at its %s port', async (port, target) => {
		crowd = new Crowd({host: host.address, port: host.ports[port]});
		await crowd.open(connections);
		const text = `GET ${target} HTTP/1.1\r\nHost: x\r\n\r\n`.repeat(100);
		await crowd.send(() => Array.from({length: requestsPerConnection / 100}, () => text));
		expect(await host.report()).toEqual(goodReport);
	});

	it.each(['directory', 'readiness'] as const)('with a body, at its %s port', async port => {
		crowd = new Crowd({host: host.address, port: host.ports[port]});
		await crowd.open(connections);
		const part = 'b'.repeat(65_536);
		await crowd.send(function * () {
			yield 'POST /-/resolve HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n';
			for (let sent = 0; sent < 4_000_000; sent += part.length) {
				yield part;
			}
		});
		expect(await host.report()).toEqual(goodReport);
	});
});

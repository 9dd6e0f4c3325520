import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Crowd} from './crowd.js';
import {CrowdHost} from './crowd-host.js';
import {goodReport} from './good-report.js';

const connections = 60;
const requestsPerConnection = 2000;

describe('a host stays in service within its memory while many clients pipeline requests and read no response', () => {
	let host: CrowdHost;
	let crowd: Crowd;

	beforeEach(async () => {
		host = await CrowdHost.start();
		crowd = new Crowd({host: host.address, port: host.ports.clients});
		await crowd.open(connections);
	});

	afterEach(async () => {
		crowd.close();
		await host.close();
	});

	const headers = (connection: number, request: number, fields = '') => `Host: shop.example\r\nX-Request-Id: r${connection}-${request}\r\nX-Deadline-Ms: 8000\r\n${fields}\r\n`;

	async function pipeline(textOf: (connection: number, request: number) => string): Promise<void> {
		await crowd.send(function * (connection) {
			for (let request = 0; request < requestsPerConnection; request++) {
				yield textOf(connection, request);
			}
		});
	}

	it('each with a new object key, so that neither the requests nor the keys may be kept without a bound', async () => {
		await pipeline((connection, request) => `GET /read/x HTTP/1.1\r\n${headers(connection, request, `X-Affinity-Key: k${connection}-${request}\r\n`)}`);
		expect(await host.report()).toEqual(goodReport);
	});

	it('without the usual headers, so that their 400 responses may not be kept without a bound', async () => {
		await pipeline(() => 'GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n');
		expect(await host.report()).toEqual(goodReport);
	});

	it('with large responses, so that responses may not be kept without a bound', async () => {
		await pipeline((connection, request) => `GET /read/size-250000 HTTP/1.1\r\n${headers(connection, request)}`);
		expect(await host.report()).toEqual(goodReport);
	});

	it('each with its own long object key, so that the tables and reports of objects may not grow with the keys', async () => {
		const key = 'k'.repeat(8000);
		await pipeline((connection, request) => `GET /read/x HTTP/1.1\r\n${headers(connection, request, `X-Affinity-Key: ${key}${connection}-${request}\r\n`)}`);
		expect(await host.report()).toEqual(goodReport);
	});

	it('that the parser refuses by itself behind one that runs, so that responses which no service counts may not be kept without a bound', async () => {
		await pipeline((connection, request) => (request === 0 ? `GET /read/size-4000000 HTTP/1.1\r\n${headers(connection, request)}` : 'GET /read/x HTTP/1.1\r\n\r\n'.repeat(20)));
		expect(await host.report()).toEqual(goodReport);
	});
});

import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Crowd} from './crowd.js';
import {CrowdHost} from './crowd-host.js';
import {goodReport} from './good-report.js';

/** Memory of the host, below the limit of its heap: the least that the deploy file's start leaves room beside. */
const memoryMb = 130;
const connections = 200;
const requestsPerConnection = 2000;
const requestsPerPart = 100;
const longestValue = 'v'.repeat(15_000);
const usualHeaders = 'X-Request-Id: r\r\nX-Deadline-Ms: 8000\r\nX-Affinity-Key: k\r\n';

type Port = CrowdHost['ports'] extends Readonly<Record<infer Name, number>> ? Name : never;

// Guards against a process that grows beyond the memory of its host, whose heap may be larger than that (it was ended for it).
describe('a host whose memory is below the limit of its heap stays within it while many clients send ahead and read no response', () => {
	let host: CrowdHost;
	let crowds: Crowd[];

	beforeEach(async () => {
		host = await CrowdHost.start({memoryMb});
		crowds = [];
	});

	afterEach(async () => {
		for (const crowd of crowds) {
			crowd.close();
		}

		await host.close();
	});

	async function press(port: Port, text: string, size = connections): Promise<void> {
		const crowd = new Crowd({host: host.address, port: host.ports[port]});
		crowds.push(crowd);
		await crowd.open(size);
		const part = text.repeat(requestsPerPart);
		await crowd.send(() => Array.from({length: requestsPerConnection / requestsPerPart}, () => part));
	}

	it.each([
		['requests without the usual headers', 'clients', 'GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n'],
		['requests at a path that no route has', 'clients', 'GET /nowhere HTTP/1.1\r\nHost: shop.example\r\n\r\n'],
		['requests at a path that no route has, with the usual headers', 'clients', `GET /nowhere HTTP/1.1\r\nHost: shop.example\r\n${usualHeaders}\r\n`],
		['the longest requests without the usual headers', 'clients', `GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Long: ${longestValue}\r\n\r\n`],
		['requests of HTTP/1.0 that keep the connection', 'clients', 'GET /nowhere HTTP/1.0\r\nHost: shop.example\r\nConnection: keep-alive\r\n\r\n'],
		['requests at the path that says ready', 'readiness', 'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n'],
		['requests at other paths of the readiness port', 'readiness', 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'],
		['the longest requests at the path that says ready', 'readiness', `GET /-/readyz HTTP/1.1\r\nHost: x\r\nX-Long: ${longestValue}\r\n\r\n`],
		['look-ups', 'directory', 'GET /-/resolve?zone=dsm-a HTTP/1.1\r\nHost: x\r\n\r\n'],
	] as const)('%s', async (_name, port, text) => {
		await press(port, text);
		expect(await host.report()).toEqual(goodReport);
	});

	it('requests of all these kinds at once', async () => {
		await Promise.all([
			press('clients', 'GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n', 60),
			press('clients', `GET /nowhere HTTP/1.1\r\nHost: shop.example\r\n${usualHeaders}\r\n`, 60),
			press('readiness', 'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n', 60),
			press('directory', 'GET /-/resolve?zone=dsm-a HTTP/1.1\r\nHost: x\r\n\r\n', 20),
		]);
		expect(await host.report()).toEqual(goodReport);
	});

	it('connections that leave and come back with more', async () => {
		for (let visit = 0; visit < 8; visit++) {
			const crowd = new Crowd({host: host.address, port: host.ports.clients});
			crowds.push(crowd);
			await crowd.open(connections);
			const part = 'GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n'.repeat(requestsPerPart);
			await Promise.race([crowd.send(() => Array.from({length: requestsPerConnection / requestsPerPart}, () => part)), delay(1000)]);
			crowd.close();
		}

		expect(await host.report()).toEqual(goodReport);
	});
});

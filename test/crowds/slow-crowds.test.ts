import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Crowd} from './crowd.js';
import {CrowdHost} from './crowd-host.js';
import {goodReport} from './good-report.js';

/** More than the descriptors of the host. */
const connections = 700;

describe('a host stays in service within its descriptors and its memory while more clients than it has descriptors', () => {
	let host: CrowdHost;
	let crowd: Crowd;

	beforeEach(async () => {
		host = await CrowdHost.start();
	});

	afterEach(async () => {
		crowd.close();
		await host.close();
	});

	const ports = ['clients', 'directory', 'readiness'] as const;

	it.each(ports)('are connected to its %s port and send nothing', async port => {
		crowd = new Crowd({host: host.address, port: host.ports[port]});
		await crowd.open(connections);
		expect(await host.report()).toEqual(goodReport);
	});

	it('send heads byte by byte', async () => {
		crowd = new Crowd({host: host.address, port: host.ports.clients});
		await crowd.open(connections);
		await crowd.send(() => 'GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r', 50);
		expect(await host.report()).toEqual(goodReport);
	});

	it('leave a large response unread each', async () => {
		crowd = new Crowd({host: host.address, port: host.ports.clients});
		await crowd.open(connections);
		await crowd.send(connection => [`GET /read/size-4000000 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r${connection}\r\nX-Deadline-Ms: 8000\r\n\r\n`]);
		expect(await host.report()).toEqual(goodReport);
	});
});

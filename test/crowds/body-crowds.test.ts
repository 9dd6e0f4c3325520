import {Buffer} from 'node:buffer';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Crowd} from './crowd.js';
import {CrowdHost} from './crowd-host.js';
import {goodReport} from './good-report.js';

const connections = 300;
/** Bodies up to 64 KB are kept whole, so that they can be sent again. */
const keptBodyBytes = 65_000;
const streamedBodyBytes = 4_000_000;
/** Bytes of each body that are never sent. */
const missingBytes = 3;

describe('a host stays in service within its memory while many clients send bodies of legal size at once and stop short of their end', () => {
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

	const usual = (connection: number) => `Host: shop.example\r\nX-Request-Id: r${connection}\r\nX-Deadline-Ms: 8000\r\n`;
	const head = (connection: number, bytes: number, path = '/write/x') => `POST ${path} HTTP/1.1\r\n${usual(connection)}Content-Length: ${bytes}\r\n\r\n`;

	it('whole, and large', async () => {
		const body = Buffer.alloc(streamedBodyBytes - missingBytes, 'b');
		await crowd.send(connection => [head(connection, streamedBodyBytes), body]);
		expect(await host.report()).toEqual(goodReport);
	});

	it('whole, and small enough to be kept for a repeat', async () => {
		const body = Buffer.alloc(keptBodyBytes - missingBytes, 'b');
		await crowd.send(connection => [head(connection, keptBodyBytes, '/read/x'), body]);
		expect(await host.report()).toEqual(goodReport);
	});

	it('piece by piece, and large', async () => {
		const piece = Buffer.alloc(900, 'b');
		await crowd.send(function * (connection) {
			yield head(connection, streamedBodyBytes);
			for (let sent = 0; sent + piece.length < 300_000; sent += piece.length) {
				yield piece;
			}
		}, 5);
		expect(await host.report()).toEqual(goodReport);
	});

	it('piece by piece, and small enough to be kept for a repeat, in pieces whose objects are larger than their bytes', async () => {
		const piece = Buffer.alloc(60, 'b');
		await crowd.send(function * (connection) {
			yield head(connection, keptBodyBytes, '/read/x');
			for (let sent = 0; sent + piece.length < keptBodyBytes; sent += piece.length) {
				yield piece;
			}
		}, 2);
		expect(await host.report()).toEqual(goodReport);
	});

	it('in chunks of one byte', async () => {
		const chunks = Buffer.from('1\r\nb\r\n'.repeat(60_000));
		await crowd.send(connection => [`POST /read/x HTTP/1.1\r\n${usual(connection)}Transfer-Encoding: chunked\r\n\r\n`, chunks]);
		expect(await host.report()).toEqual(goodReport);
	});
});

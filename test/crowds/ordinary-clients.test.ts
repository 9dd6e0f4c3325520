import {Buffer} from 'node:buffer';
import {request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {until} from '../until.js';
import {CrowdHost} from './crowd-host.js';

// Guards against limits that refuse clients which stay within those of the configuration.
describe('on a host that limits what it holds, a single client is still served', () => {
	let host: CrowdHost;

	beforeAll(async () => {
		host = await CrowdHost.start();
	});

	afterAll(async () => {
		await host.close();
	});

	it.each([
		['with a length', 'upload', {'content-length': String(64 * 1_048_576)}],
		['in chunks', 'upload-chunks', {'transfer-encoding': 'chunked'}],
	] as const)('that uploads as much as a body may have, %s', async (_name, id, framing) => {
		const piece = Buffer.alloc(1_048_576, 'u');
		const status = await new Promise<number | undefined>((resolve, reject) => {
			const req = httpRequest({
				host: host.address, port: host.ports.clients, path: '/write/upload', method: 'POST', agent: false, headers: {
					host: 'shop.example', 'x-request-id': id, 'x-deadline-ms': '30000', ...framing,
				},
			}, res => {
				res.resume().on('close', () => {
					resolve(res.statusCode);
				});
			}).on('error', reject);
			for (let sent = 0; sent < 64; sent++) {
				req.write(piece);
			}

			req.end();
		});
		expect(status).toBe(200);
		expect(host.instances.map(instance => instance.bodyBytesById.get(id)).filter(bytes => bytes !== undefined)).toEqual([64 * piece.length]);
	});

	it('that pipelines many repeatable requests and reads the responses, each of which arrives, in order', async () => {
		const count = 600;
		let text = '';
		const socket = connect(host.ports.clients, host.address);
		socket.on('data', data => {
			text += data.toString('latin1');
		}).on('error', () => undefined);
		for (let index = 0; index < count; index++) {
			socket.write(`GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p${index}\r\nX-Deadline-Ms: 8000\r\nX-Affinity-Key: k\r\n\r\n`);
		}

		const answered = () => [...text.matchAll(/x-request-id: p(\d+)/gi)].map(([, index]) => Number(index));
		await until(() => answered().length === count);
		expect(answered()).toEqual(Array.from({length: count}, (_, index) => index));
		expect(text.match(/HTTP\/1\.1 200/g)).toHaveLength(count);
		socket.destroy();
	});

	it('that reads a large response slowly, and gets all of it', async () => {
		const bytes = 6_000_000;
		let received = 0;
		let isClosed = false;
		const socket = connect(host.ports.clients, host.address, () => {
			socket.write(`GET /read/size-${bytes} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 8000\r\nConnection: close\r\n\r\n`);
		});
		socket.on('close', () => {
			isClosed = true;
		}).on('error', () => undefined);
		socket.on('data', data => {
			received += data.length;
			socket.pause();
			setTimeout(() => socket.resume(), 10);
		});
		await until(() => isClosed);
		expect(received).toBeGreaterThan(bytes);
	});

	it('that sends a small body piece by piece, slowly', async () => {
		let text = '';
		const socket = connect(host.ports.clients, host.address);
		socket.on('data', data => {
			text += data.toString('latin1');
		}).on('error', () => undefined);
		socket.write('POST /write/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: pieces\r\nX-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n');
		for (let index = 0; index < 40; index++) {
			socket.write('1\r\nb\r\n');
			await delay(25);
		}

		socket.write('0\r\n\r\n');
		await until(() => text.includes('HTTP/1.1 200'));
		expect(host.instances.map(instance => instance.bodyBytesById.get('pieces')).filter(bytes => bytes !== undefined)).toEqual([40]);
		socket.destroy();
	});
});

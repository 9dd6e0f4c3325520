import {Buffer} from 'node:buffer';
import {request as httpRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {HttpStandIn} from '../stand-ins/http-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSmallPlatform} from './start-small-platform.js';
import {until} from './until.js';

const graceSeconds = 4;
const pieces = 20;
const pieceBytes = 30_000;
/** The answer ends after the time for which clients may still look the host up, and well within the grace time. */
const pieceIntervalMs = 140;
const {route, nonRepeatable, instance: instanceEntry} = platformDocuments;

// Guards against answers that are cut off because a host which still delivers them counts as idle (LOST).
describe('a planned stop while long answers are delivered', () => {
	let platform: Awaited<ReturnType<typeof startSmallPlatform>>;
	let begun: number;
	const server = new HttpStandIn((req, res) => {
		void (async () => {
			begun++;
			res.writeHead(200, {'X-Request-Id': String(req.headers['x-request-id']), 'X-Response-Signature': 's', 'Content-Length': String(pieces * pieceBytes)});
			for (let piece = 0; piece < pieces; piece++) {
				await delay(pieceIntervalMs);
				res.write(Buffer.alloc(pieceBytes, 'x'));
			}

			res.end();
		})();
	});

	beforeEach(async () => {
		begun = 0;
		platform = await startSmallPlatform({
			graceSeconds, routes: [route('read', '/read/', {timeout_ms: 9000}), route('write', '/write/', {...nonRepeatable, timeout_ms: 9000})],
		});
		const host = nextLoopbackAddress();
		await server.listen(host, 8080);
		platform.store.write('servers/i-1', instanceEntry(`${host}:8080`));
		platform.store.remove('servers/i-0');
		await until(async () => platform.daemon.kernel.get('instances').get('i-1') !== undefined && platform.daemon.kernel.get('instances').get('i-0') === undefined);
	});

	afterEach(async () => {
		await platform.close({isDaemonStopped: true});
		await server.close();
	});

	async function receivedBytes(method: string, path: string): Promise<number> {
		return new Promise(resolve => {
			let bytes = 0;
			httpRequest({
				host: platform.daemon.host, port: 8381, method, path, agent: false, headers: {Host: 'shop.example', 'X-Request-Id': path, 'X-Deadline-Ms': '9000'},
			}, res => {
				res.on('data', (part: Uint8Array) => {
					bytes += part.byteLength;
				}).on('error', () => undefined).on('close', () => {
					resolve(bytes);
				});
			}).on('error', () => {
				resolve(bytes);
			}).end();
		});
	}

	it('waits for their ends, also of requests that must not be repeated', async () => {
		const answers = [receivedBytes('GET', '/read/1'), receivedBytes('POST', '/write/1')];
		await until(() => begun === 2);
		await platform.daemon.kernel.get('stop').stop();
		await platform.daemon.close();
		expect(await Promise.all(answers)).toEqual([pieces * pieceBytes, pieces * pieceBytes]);
	});
});

import {createServer, type Server, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {nextLoopbackAddress} from '../../test/next-loopback-address.js';
import {ConnectionPool} from './connection-pool.js';
import {httpExchange} from './http-exchange.js';
import {monotonicClock} from './monotonic-clock.js';

const port = 7000;

describe('httpExchange', () => {
	let server: Server;
	let pool: ConnectionPool;
	let respond: (socket: Socket) => void;

	beforeEach(async () => {
		const host = nextLoopbackAddress();
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', () => {
				respond(socket);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(port, host, resolve);
		});
		pool = new ConnectionPool({
			address: `${host}:${port}`, clock: monotonicClock, idleLimitMs: 1000, connectTimeoutMs: 1000, exchangeLimitMs: 10_000, maxConnections: 4,
		});
	});

	afterEach(async () => {
		pool.close();
		await new Promise(resolve => {
			server.close(resolve);
		});
	});

	const exchange = async (timeoutMs = 2000) => httpExchange({
		pool, method: 'GET', path: '/', headers: {}, body: undefined, timeoutMs, maxAnswerBytes: 1000, signal: undefined, startMs: monotonicClock.nowMs(),
	});

	it('accepts a response without a length when its connection is closed normally', async () => {
		respond = socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nall of it');
		};

		expect(await exchange()).toMatchObject({kind: 'answered', status: 200});
	});

	// Guards against pulls of changes that a busy host gives up again and again, though their responses arrive (CONFIG, DRAIN).
	it('accepts a response that arrived in time and is read late, because the event loop was busy', async () => {
		const blockMs = 400;
		respond = socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole');
			const endMs = monotonicClock.nowMs() + blockMs;
			while (monotonicClock.nowMs() < endMs) {/* Holds up the event loop. */}
		};

		expect(await exchange(blockMs / 2)).toMatchObject({kind: 'answered', status: 200});
	});

	it('gives up an exchange without a response at its timeout', async () => {
		respond = () => undefined;
		expect(await exchange(100)).toMatchObject({kind: 'overdue'});
	});

	it('accepts a response that is complete by its length even if its connection is reset afterwards', async () => {
		respond = socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', () => {
				socket.resetAndDestroy();
			});
		};

		expect(await exchange()).toMatchObject({kind: 'answered', status: 200});
	});

	it('reports a response without a length as lost when its connection is reset, since it may be truncated', async () => {
		respond = socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\na part', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
			});
		};

		expect(await exchange()).toMatchObject({kind: 'lost'});
		expect(pool.size).toBe(0);
	});

	it('reports a response without a length as lost when its connection is reset right behind bytes that are not read yet', async () => {
		respond = socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\na part');
			socket.resetAndDestroy();
		};

		expect(await exchange()).toMatchObject({kind: 'lost'});
	});

	it('reports a response with a transfer coding other than chunks as lost when its connection is reset, since it has no other end', async () => {
		respond = socket => {
			socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\na part');
			socket.resetAndDestroy();
		};

		expect(await exchange()).toMatchObject({kind: 'lost'});
	});

	it.each(['000', '600'])('does not return a response with status %s, which HTTP does not define', async status => {
		respond = socket => socket.write(`HTTP/1.1 ${status} Status\r\ncontent-length: 2\r\n\r\nok`);
		expect(await exchange()).toMatchObject({kind: 'broken'});
		expect(pool.size).toBe(0);
	});
});

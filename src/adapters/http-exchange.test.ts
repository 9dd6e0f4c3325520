import {createServer, type Server, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {loopback} from '../../test/loopback.js';
import {ConnectionPool} from './connection-pool.js';
import {httpExchange} from './http-exchange.js';
import {monotonicClock} from './monotonic-clock.js';

const port = 7000;

describe('HTTP exchanges', () => {
	let server: Server;
	let pool: ConnectionPool;
	let answer: (socket: Socket) => void;

	beforeEach(async () => {
		const host = loopback();
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', () => {
				answer(socket);
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

	const exchange = async () => httpExchange({
		pool, method: 'GET', path: '/', headers: {}, body: undefined, timeoutMs: 2000, maxAnswerBytes: 1000, signal: undefined, startMs: monotonicClock.nowMs(),
	});

	it('take an answer without a length for whole when its connection ends in order', async () => {
		answer = socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nall of it');
		};

		expect(await exchange()).toMatchObject({kind: 'answered', status: 200});
	});

	it('deliver an answer that is whole by its length, though its connection is reset after it', async () => {
		answer = socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', () => {
				socket.resetAndDestroy();
			});
		};

		expect(await exchange()).toMatchObject({kind: 'answered', status: 200});
	});

	it('do not when the connection is reset: the end may have come early', async () => {
		answer = socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\na part', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
			});
		};

		expect(await exchange()).toMatchObject({kind: 'lost'});
		expect(pool.size).toBe(0);
	});
});

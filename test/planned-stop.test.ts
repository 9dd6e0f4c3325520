import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {startSmallPlatform} from './start-small-platform.js';
import {until} from './until.js';

type Ending = {readonly id: string; readonly status: number | undefined; readonly isComplete: boolean; readonly port: number; readonly endMs: number};

const clientsPort = 8381;
const graceSeconds = 2;
/** Time that a connection with a request was accepted before its end from which the request counts as cut off, also if it was not read. */
const crossingMs = 200;
/** Channel on which Node.js publishes each connection that a server has accepted. */
const acceptedChannel = 'net.server.socket';
/** Channel on which Node.js publishes each request that an HTTP server has read the head of. */
const readChannel = 'http.server.request.start';
const {route, nonRepeatable} = platformDocuments;

async function pauseMs(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

describe('a planned stop', () => {
	let platform: Awaited<ReturnType<typeof startSmallPlatform>>;
	let instance: typeof platform.instance;
	let nextId = 0;
	/** Ids of the requests that the daemon has read, and of those that it has sent to the instance. */
	const readIds = new Set<string>();
	/** Times at which the daemon accepted connections, by the client's port. The others wait in the system's queue, which ends with the listener. */
	const acceptedMs = new Map<number | undefined, number>();

	function recordAccepted(message: unknown): void {
		const {socket} = message as {readonly socket: Socket};
		if (socket.localPort === clientsPort) {
			acceptedMs.set(socket.remotePort, performance.now());
		}
	}

	function recordRead(message: unknown): void {
		const {request} = message as {readonly request: IncomingMessage};
		readIds.add(String(request.headers['x-request-id']));
	}

	beforeEach(async () => {
		platform = await startSmallPlatform({
			graceSeconds, routes: [
				route('read', '/read/', {timeout_ms: 5000}), route('write', '/write/', {...nonRepeatable, timeout_ms: 5000}), route('long', '/long/', {...nonRepeatable, timeout_ms: 9000}),
			],
		});
		({instance} = platform);
		subscribe(acceptedChannel, recordAccepted);
		subscribe(readChannel, recordRead);
	});

	afterEach(async () => {
		unsubscribe(acceptedChannel, recordAccepted);
		unsubscribe(readChannel, recordRead);
		await platform.close({isDaemonStopped: true});
	});

	/** Sends a request on a new connection; `undefined` if no connection was made. */
	async function send(path: string): Promise<Ending | undefined> {
		nextId++;
		const id = `r${nextId}`;
		return new Promise(resolve => {
			let text = '';
			let port: number | undefined;
			const socket = connect(clientsPort, platform.daemon.host, () => {
				socket.write(`POST ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 9000\r\nContent-Length: 1\r\n\r\nb`);
				port = socket.localPort;
			});
			socket.on('data', data => {
				text += data.toString();
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				const status = /^HTTP\/1\.1 (\d{3})/.exec(text)?.[1];
				const isComplete = status !== undefined && (status !== '200' || text.endsWith(`answer to ${id}`));
				resolve(port === undefined
					? undefined
					: {
						id, status: status === undefined ? undefined : Number(status), isComplete, port, endMs: performance.now(),
					});
			});
		});
	}

	/** Stops the daemon as a SIGTERM does. */
	async function stop(): Promise<void> {
		const {daemon} = platform;
		await daemon.kernel.get('stop').stop();
		await daemon.close();
	}

	const hasRun = ({id}: Ending) => instance.executedRequests.some(({requestId}) => requestId === id);

	it('under load cuts off no request that was read, whether or not it was sent on', async () => {
		instance.runMs = 30;
		const endings: Array<Promise<Ending | undefined>> = [];
		const timer = setInterval(() => {
			for (let index = 0; index < 4; index++) {
				endings.push(send('/write/x'));
			}
		}, 10);
		await until(() => instance.executedRequests.length > 100);
		await stop();
		await pauseMs(100);
		clearInterval(timer);
		const all = await Promise.all(endings);
		const ended = all.filter(ending => ending !== undefined);
		expect(ended.filter(ending => ending.status === 200).length).toBeGreaterThan(100);
		expect(Math.min(readIds.size, acceptedMs.size)).toBeGreaterThan(100);
		const isTaken = ({id, port, endMs}: Ending) => readIds.has(id) || endMs - (acceptedMs.get(port) ?? endMs) > crossingMs;
		expect(ended.filter(ending => !ending.isComplete && (hasRun(ending) || isTaken(ending)))).toEqual([]);
		expect(ended.filter(ending => ending.status === 503 && hasRun(ending))).toEqual([]);
	}, 20_000);

	it('refuses a request that is not expected to end in the rest of the grace time, and sends on one that is', async () => {
		instance.runMsByTarget.set('/long/x', 800);
		instance.runMsByTarget.set('/write/x', 100);
		const connectionClosed = [send('/long/x'), send('/write/x')];
		await until(() => instance.executedRequests.length === 2);
		await until(() => platform.daemon.kernel.get('proxy').inFlight === 0);
		const stopping = stop();
		const [long, short] = await Promise.all([send('/long/x'), send('/write/x')]);
		expect(long).toMatchObject({status: 503});
		expect(hasRun(long!)).toBe(false);
		expect(short).toMatchObject({status: 200});
		await stopping;
		await Promise.all(connectionClosed);
	});

	it('refuses each request that comes late in the grace time, and nothing runs', async () => {
		instance.runMs = 1500;
		const early = send('/write/x');
		await until(() => instance.executedRequests.length === 1);
		const stopping = stop();
		await pauseMs(1100);
		const late = await Promise.all([send('/write/x'), send('/read/x')]);
		expect(late.map(ending => ending?.status)).toEqual([503, 503]);
		await stopping;
		expect(await early).toMatchObject({status: 200});
		expect(instance.executedRequests).toHaveLength(1);
	});
});

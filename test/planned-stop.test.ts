import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {startSmallPlatform} from './start-small-platform.js';
import {until} from './until.js';

type Ending = {readonly id: string; readonly status: number | undefined; readonly isComplete: boolean; readonly heldMs: number};

const clientsPort = 8381;
const graceSeconds = 2;
/** Time from the last byte of a request to the end of its connection from which an unanswered request counts as cut off. */
const crossingMs = 200;
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

	beforeEach(async () => {
		platform = await startSmallPlatform({
			graceSeconds, routes: [
				route('read', '/read/', {timeout_ms: 5000}), route('write', '/write/', {...nonRepeatable, timeout_ms: 5000}), route('long', '/long/', {...nonRepeatable, timeout_ms: 9000}),
			],
		});
		({instance} = platform);
	});

	afterEach(async () => {
		await platform.close({isDaemonStopped: true});
	});

	/** Sends a request on a new connection; `undefined` if no connection was made. */
	async function send(path: string): Promise<Ending | undefined> {
		nextId++;
		const id = `r${nextId}`;
		return new Promise(resolve => {
			let text = '';
			let sentMs: number | undefined;
			const socket = connect(clientsPort, platform.daemon.host, () => {
				socket.write(`POST ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 9000\r\nContent-Length: 1\r\n\r\nb`);
				sentMs = performance.now();
			});
			socket.on('data', data => {
				text += data.toString();
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				const status = /^HTTP\/1\.1 (\d{3})/.exec(text)?.[1];
				const isComplete = status !== undefined && (status !== '200' || text.endsWith(`answer to ${id}`));
				resolve(sentMs === undefined
					? undefined
					: {
						id, status: status === undefined ? undefined : Number(status), isComplete, heldMs: performance.now() - sentMs,
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
		await pauseMs(300);
		await stop();
		await pauseMs(100);
		clearInterval(timer);
		const all = await Promise.all(endings);
		const ended = all.filter(ending => ending !== undefined);
		expect(ended.filter(ending => ending.status === 200).length).toBeGreaterThan(100);
		expect(ended.filter(ending => !ending.isComplete && (hasRun(ending) || ending.heldMs > crossingMs))).toEqual([]);
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

import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {startSmallPlatform} from './start-small-platform.js';

type RawClient = {readonly socket: Socket; readonly received: () => string; readonly closed: Promise<void>};

const clientsPort = 8381;
const {route, nonRepeatable} = platformDocuments;

async function pauseMs(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

describe('clients that send requests behind one another', () => {
	let platform: Awaited<ReturnType<typeof startSmallPlatform>>;
	let instance: typeof platform.instance;
	let daemon: typeof platform.daemon;
	let clients: RawClient[];

	beforeEach(async () => {
		platform = await startSmallPlatform({routes: [route('read', '/read/', {timeout_ms: 4000}), route('write', '/write/', nonRepeatable)]});
		({instance, daemon} = platform);
		clients = [];
	});

	afterEach(async () => {
		for (const {socket} of clients) {
			socket.destroy();
		}

		await platform.close();
	});

	async function openClient(): Promise<RawClient> {
		let text = '';
		const socket = connect(clientsPort, daemon.host);
		const closed = new Promise<void>(resolve => {
			socket.on('close', () => {
				resolve();
			});
		});
		socket.on('error', () => undefined);
		socket.on('data', data => {
			text += data.toString();
		});
		await new Promise(resolve => {
			socket.once('connect', resolve);
		});
		const client = {socket, received: () => text, closed};
		clients.push(client);
		return client;
	}

	const get = (id: string, headers = '') => `GET /read/${id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 4000\r\n${headers}\r\n`;
	const post = (id: string) => `POST /write/${id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 4000\r\nContent-Length: 1\r\n\r\nb`;
	const answeredIds = ({received}: RawClient) => [...received().matchAll(/answer to ([a-z])/g)].map(([, id]) => id);
	const executedIds = () => instance.executedRequests.map(({requestId}) => requestId);
	const statusCount = ({received}: RawClient) => [...received().matchAll(/HTTP\/1\.1 \d{3}/g)].length;
	const runFor = (id: string, runMs: number) => {
		instance.runMsByTarget.set(`/read/${id}`, runMs);
	};

	it('receive the responses in the order of the requests, though the first runs longest', async () => {
		runFor('a', 300);
		const client = await openClient();
		client.socket.write(get('a') + get('b') + get('c'));
		await vi.waitUntil(() => answeredIds(client).length === 3, {timeout: 4000});
		expect(answeredIds(client)).toEqual(['a', 'b', 'c']);
	});

	it('have repeatable requests sent on while the first one runs', async () => {
		runFor('a', 400);
		const client = await openClient();
		client.socket.write(get('a') + get('b') + get('c'));
		await vi.waitUntil(() => executedIds().length === 3, {interval: 5});
		expect(client.received()).toBe('');
	});

	it('have a request that must not be repeated sent on only after the response to the one before it, and those behind it after it', async () => {
		runFor('a', 300);
		const client = await openClient();
		client.socket.write(get('a') + post('b') + get('c'));
		await vi.waitUntil(() => executedIds().includes('a'));
		await pauseMs(150);
		expect(executedIds()).toEqual(['a']);
		await vi.waitUntil(() => answeredIds(client).length === 3, {timeout: 4000});
		expect(executedIds().toSorted()).toEqual(['a', 'b', 'c']);
	});

	it('receive the responses to all requests that were sent on, though the instance\'s first one ends with its connection', async () => {
		instance.behaviours = ['no-length', 'answer'];
		instance.runMs = 200;
		const client = await openClient();
		client.socket.write(get('a') + get('b') + get('c'));
		await vi.waitUntil(() => answeredIds(client).length === 3, {timeout: 4000});
		client.socket.write(post('d'));
		await vi.waitUntil(() => answeredIds(client).length === 4, {timeout: 4000});
		expect(answeredIds(client)).toEqual(['a', 'b', 'c', 'd']);
	});

	it('receive the responses to all requests up to one with "Connection: close", and none to those behind it, which are not sent on', async () => {
		runFor('a', 200);
		const client = await openClient();
		client.socket.write(get('a') + get('b', 'Connection: close\r\n') + get('c') + post('d'));
		await client.closed;
		expect(answeredIds(client)).toEqual(['a', 'b']);
		expect(statusCount(client)).toBe(2);
		expect(executedIds().toSorted()).toEqual(['a', 'b']);
	});

	it('receive the responses to the requests before bytes that are no request, and nothing else', async () => {
		runFor('a', 200);
		const client = await openClient();
		client.socket.write(`${get('a')}${get('b')}what is this\r\n\r\n`);
		await client.closed;
		expect(answeredIds(client)).toEqual(['a', 'b']);
		expect(statusCount(client)).toBe(2);
	});

	it('that leave have all their requests cancelled', async () => {
		instance.runMs = 3000;
		const client = await openClient();
		client.socket.write(get('a') + get('b') + get('c'));
		await vi.waitUntil(() => executedIds().length === 3);
		client.socket.resetAndDestroy();
		await vi.waitUntil(() => instance.cancelledRequestIds.length === 3, {timeout: 2000});
	});

	it('that leave before the first response have no request sent on that waited for its turn', async () => {
		runFor('a', 300);
		const client = await openClient();
		client.socket.write(get('a') + post('b'));
		await vi.waitUntil(() => executedIds().includes('a'));
		client.socket.resetAndDestroy();
		await pauseMs(500);
		expect(executedIds()).toEqual(['a']);
	});

	describe('at a planned stop', () => {
		it('receive the responses to the requests that were sent on, the last one closing the connection', async () => {
			instance.runMs = 400;
			const client = await openClient();
			client.socket.write(get('a') + get('b') + get('c'));
			await vi.waitUntil(() => executedIds().length === 3);
			const stopping = daemon.kernel.get('stop').stop();
			await client.closed;
			expect(answeredIds(client)).toEqual(['a', 'b', 'c']);
			expect([...client.received().matchAll(/connection: close/gi)]).toHaveLength(1);
			expect(client.received().slice(client.received().lastIndexOf('HTTP/1.1')).toLowerCase()).toContain('connection: close');
			await stopping;
		});

		it('have the requests behind the closing response neither sent on nor answered', async () => {
			instance.runMs = 400;
			const client = await openClient();
			client.socket.write(get('a') + get('b'));
			await vi.waitUntil(() => executedIds().length === 2);
			const stopping = daemon.kernel.get('stop').stop();
			client.socket.write(get('c') + post('d') + get('e'));
			await client.closed;
			expect(answeredIds(client)).toEqual(['a', 'b']);
			expect(statusCount(client)).toBe(2);
			expect(executedIds().toSorted()).toEqual(['a', 'b']);
			await stopping;
			expect(executedIds().toSorted()).toEqual(['a', 'b']);
		});

		it('have requests that wait for their turn left out', async () => {
			instance.runMs = 400;
			const client = await openClient();
			client.socket.write(get('a') + post('b') + get('c'));
			await vi.waitUntil(() => executedIds().length === 1);
			const stopping = daemon.kernel.get('stop').stop();
			await client.closed;
			expect(answeredIds(client)).toEqual(['a']);
			expect(statusCount(client)).toBe(1);
			await stopping;
			expect(executedIds()).toEqual(['a']);
		});

		it('are served on an idle connection that they kept open, and the response closes it', async () => {
			const client = await openClient();
			client.socket.write(get('a'));
			await vi.waitUntil(() => answeredIds(client).length === 1);
			const stopping = daemon.kernel.get('stop').stop();
			client.socket.write(post('b') + get('c'));
			await client.closed;
			expect(answeredIds(client)).toEqual(['a', 'b']);
			expect(executedIds()).toEqual(['a', 'b']);
			await stopping;
		});
	});
});

import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Crowd} from './crowd.js';
import {CrowdHost} from './crowd-host.js';

const connections = 40;
const requestsPerConnection = 100;
/** Statuses that promise that the request has not run. */
const refusals = new Set([408, 429, 503]);
const settleMs = 1500;

const isWrite = (request: number) => request % 3 === 0;
const idOf = (client: number, request: number) => `${isWrite(request) ? 'w' : 'r'}-${client}-${request}`;
const usual = (id: string) => `Host: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 8000\r\n`;
const textOf = (client: number, request: number) => (isWrite(request)
	? `POST /write/size-20000 HTTP/1.1\r\n${usual(idOf(client, request))}Content-Length: 5\r\n\r\nwrite`
	: `GET /read/size-60000 HTTP/1.1\r\n${usual(idOf(client, request))}\r\n`);

// Guards against refusals of requests that run, and against a second run of a request that must not be repeated.
describe('while unread responses of other clients use the memory of a host up', () => {
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

	const runsOf = (id: string) => host.instances.reduce((sum, instance) => sum + (instance.runsById.get(id) ?? 0), 0);

	/** Sends requests behind one another; returns the statuses in the order of the requests once the connection is idle or closed. */
	async function pipeline(client: number): Promise<number[]> {
		let text = '';
		const socket = connect(host.ports.clients, host.address);
		socket.setTimeout(settleMs, () => {
			socket.destroy();
		});
		socket.on('error', () => undefined).on('data', data => {
			text += data.toString('latin1');
		});
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		for (let request = 0; request < requestsPerConnection; request++) {
			socket.write(textOf(client, request));
		}

		await closed;
		return [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => Number(status));
	}

	it('a refused request never runs, and one that must not be repeated runs once at most, also behind a closed connection', async () => {
		const flooding = crowd.send(function * (connection) {
			for (let request = 0; request < requestsPerConnection; request++) {
				yield textOf(connections + connection, request);
			}
		});
		const statuses = await Promise.all(Array.from({length: connections}, async (_, client) => pipeline(client)));
		await flooding;
		crowd.close();
		await new Promise(resolve => {
			setTimeout(resolve, settleMs);
		});
		const answers = statuses.flatMap((list, client) => list.map((status, request) => ({status, id: idOf(client, request)})));
		const refusedRuns = answers.filter(({status, id}) => refusals.has(status) && runsOf(id) > 0);
		expect(refusedRuns).toEqual([]);
		const ids = Array.from({length: connections * 2}, (_, client) => Array.from({length: requestsPerConnection}, (_, request) => idOf(client, request))).flat();
		const writes = ids.filter(id => id.startsWith('w'));
		expect(writes.filter(id => runsOf(id) > 1)).toEqual([]);
		expect(writes.some(id => runsOf(id) === 1)).toBe(true);
	});
});

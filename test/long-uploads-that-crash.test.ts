import {Buffer} from 'node:buffer';
import {request as httpRequest, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {HttpStandIn} from '../stand-ins/http-stand-in.js';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';

type Form = 'length' | 'chunks';
type Upload = {readonly body: Uint8Array; readonly form?: Form; readonly path?: string};

const {route, configuration, instance: instanceEntry, nonRepeatable} = platformDocuments;
const mark = 'this crashes its reader';
const maxBodyBytes = 4_194_304;
const instanceCount = 8;
const partBytes = 30_000;
const rounds = 12;
/** Number of crashes that are allowed: three, and as many retries behind them. One instance that is lost twice says nothing about the request. */
const maxCrashes = 6;
/** Size of the smallest host of the platform, which cannot hold a body of 3 MB. */
const smallHost = {
	cpuShare: 0.189, cores: 1, memoryMb: 202, maxDescriptors: 2069, linkMbps: 7,
};

/** Returns a body of which each byte but the last ones is the same as in others of that size, with a text at its start or its end. */
function bodyOf(bytes: number, text: string, place: 'start' | 'end'): Uint8Array {
	const body = Buffer.alloc(bytes, 'x');
	body.write(text, place === 'start' ? 0 : bytes - text.length);
	return body;
}

// Guards against uploads that crash instances and are told from others neither by their path nor by their beginning (BUDGET).
describe('long uploads that crash instances', () => {
	let store: KvStoreStandIn;
	let servers: HttpStandIn[];
	let daemon: Awaited<ReturnType<typeof startSteeringDaemon>>;
	let crashes: number;
	let completed: number;
	/** Whether an instance crashes as soon as it reads the mark, instead of after the whole body. */
	let isEarly: boolean;
	let storeAddress: string;

	async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const parts: Uint8Array[] = [];
		const {socket} = req;
		try {
			for await (const part of req as AsyncIterable<Uint8Array>) {
				parts.push(part);
				if (isEarly && Buffer.from(part).includes(mark)) {
					break;
				}
			}
		} catch {
			return;
		}

		if (Buffer.concat(parts).includes(mark)) {
			crashes++;
			socket.destroy();
			return;
		}

		completed++;
		res.writeHead(200, {'X-Request-Id': String(req.headers['x-request-id']), 'X-Response-Signature': 's'}).end('done');
	}

	beforeEach(async () => {
		[crashes, completed, isEarly] = [0, 0, false];
		store = new KvStoreStandIn();
		const host = nextLoopbackAddress();
		await store.listen(host, 8384);
		storeAddress = `${host}:8384`;
		servers = [];
		for (let index = 0; index < instanceCount; index++) {
			const server = new HttpStandIn((req, res) => {
				void handle(req, res);
			});
			const address = nextLoopbackAddress();
			await server.listen(address, 8080);
			servers.push(server);
			store.write(`servers/i-${index}`, instanceEntry(`${address}:8080`));
		}

		store.write('op/config', configuration(3, [route('upload', '/files/', nonRepeatable), route('read', '/reads/')], undefined, {max_body_bytes: maxBodyBytes}));
	});

	afterEach(async () => {
		await daemon.close();
		await Promise.all(servers.map(async server => server.close()));
		await store.close();
	});

	async function send({body, form = 'length', path = '/files/'}: Upload): Promise<number> {
		return new Promise(resolve => {
			const req = httpRequest({
				host: daemon.host, port: 8381, method: 'POST', path, agent: false, headers: {
					Host: 'shop.example', 'X-Request-Id': `r-${Math.random()}`, 'X-Deadline-Ms': '3000', ...(form === 'length' && {'Content-Length': String(body.length)}),
				},
			}, res => {
				res.resume();
				res.on('end', () => {
					resolve(res.statusCode!);
				});
			});
			req.on('error', () => {
				resolve(0);
			});
			for (let start = 0; start < body.length; start += partBytes) {
				req.write(body.subarray(start, start + partBytes));
			}

			req.end();
		});
	}

	/** Sends the fatal upload again and again, and an ordinary one after each; returns the statuses of the ordinary ones. */
	async function sendInTurns(fatal: (round: number) => Upload, ordinary: (round: number) => Upload): Promise<number[]> {
		const statuses: number[] = [];
		for (let round = 0; round < rounds; round++) {
			await send(fatal(round));
			statuses.push(await send(ordinary(round)));
		}

		return statuses;
	}

	const served = Array.from({length: rounds}, () => 200);

	it.each([
		{bytes: 65_537, place: 'start'}, {bytes: 100_000, place: 'start'}, {bytes: 100_000, place: 'end'}, {bytes: 400_000, place: 'end'}, {bytes: 1_000_000, place: 'end'},
	] as const)('are refused after few crashes at $bytes bytes that differ at the $place, and others to the same path are not', async ({bytes, place}) => {
		daemon = await startSteeringDaemon(storeAddress);
		const fatal = bodyOf(bytes, mark, place);
		expect(await sendInTurns(() => ({body: fatal}), round => ({body: bodyOf(bytes, `file ${round}`, place)}))).toEqual(served);
		expect(crashes).toBeLessThanOrEqual(maxCrashes);
	});

	it('are refused in whichever form the client sends them', async () => {
		daemon = await startSteeringDaemon(storeAddress);
		const form = (round: number): Form => (round % 2 === 0 ? 'chunks' : 'length');
		const fatal = bodyOf(200_000, mark, 'end');
		expect(await sendInTurns(round => ({body: fatal, form: form(round)}), round => ({body: bodyOf(200_000, `file ${round}`, 'end'), form: form(round)}))).toEqual(served);
		expect(crashes).toBeLessThanOrEqual(maxCrashes);
	});

	it('are refused if their instances crash before they have read all', async () => {
		isEarly = true;
		daemon = await startSteeringDaemon(storeAddress);
		const fatal = bodyOf(400_000, mark, 'start');
		expect(await sendInTurns(() => ({body: fatal}), round => ({body: bodyOf(400_000, `file ${round}`, 'start')}))).toEqual(served);
		expect(crashes).toBeLessThanOrEqual(maxCrashes);
	});

	it.each(['length', 'chunks'] as const)('do not reach an instance whole any more if the host cannot hold them, sent with $0', async form => {
		daemon = await startSteeringDaemon(storeAddress, {capacity: smallHost});
		const fatal = bodyOf(3_000_000, mark, 'end');
		expect(await sendInTurns(() => ({body: fatal, form}), round => ({body: bodyOf(3_000_000, `file ${round}`, 'end'), form}))).toEqual(served);
		expect(crashes).toBeLessThanOrEqual(maxCrashes);
	});

	it('are refused on routes whose requests may be repeated', async () => {
		daemon = await startSteeringDaemon(storeAddress);
		const fatal = bodyOf(150_000, mark, 'end');
		expect(await sendInTurns(() => ({body: fatal, path: '/reads/1'}), round => ({body: bodyOf(150_000, `file ${round}`, 'end'), path: '/reads/1'}))).toEqual(served);
		expect(crashes).toBeLessThanOrEqual(maxCrashes);
		expect(completed).toBe(rounds);
	});
});

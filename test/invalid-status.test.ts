import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {RawExchange} from './raw-exchange.js';
import {RawInstance} from './raw-instance.js';
import {startSteeringDaemon} from './start-steering-daemon.js';
import {until} from './until.js';

const storePort = 8384;
const instancePort = 8080;
const clientsPort = 8381;
const instanceCount = 2;
/** With this many, both instances have given such a response, whichever is chosen for each request. */
const invalidResponses = 12;
const validResponses = 10;
const {route, nonRepeatable, configuration, instance: instanceEntry} = platformDocuments;

const responseTo = (id: string) => {
	const [, status = '200'] = /^invalid-(?<status>\d{3})-/.exec(id) ?? [];
	return `HTTP/1.1 ${status} Status\r\nX-Request-Id: ${id}\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok`;
};

describe('a response whose status HTTP does not define', () => {
	const store = new KvStoreStandIn();
	const instances = Array.from({length: instanceCount}, () => new RawInstance((socket, id) => {
		socket.write(responseTo(id));
	}));
	let daemon: Awaited<ReturnType<typeof startSteeringDaemon>>;
	let requestCount = 0;

	beforeAll(async () => {
		const storeHost = nextLoopbackAddress();
		await store.listen(storeHost, storePort);
		for (const [index, instance] of instances.entries()) {
			const host = nextLoopbackAddress();
			await instance.listen(host, instancePort);
			store.write(`servers/i-${index}`, instanceEntry(`${host}:${instancePort}`));
		}

		store.write('op/config', configuration(3, [route('write', '/write/', nonRepeatable)]));
		daemon = await startSteeringDaemon(`${storeHost}:${storePort}`);
		await until(() => daemon.kernel.get('instances').serving('books').length === instanceCount);
	});

	afterAll(async () => {
		await daemon.close();
		await Promise.all(instances.map(async instance => instance.close()));
		await store.close();
	});

	async function statusOf(path: string, name: string): Promise<number | undefined> {
		requestCount++;
		const {status} = await new RawExchange(daemon.host, clientsPort, [
			`POST ${path} HTTP/1.1`, 'Host: shop.example', `X-Request-Id: ${name}-${requestCount}`, 'X-Deadline-Ms: 4000', 'Content-Length: 1', 'Connection: close', '', 'b',
		].join('\r\n')).ended;
		return status;
	}

	async function statusesOf(count: number, path: string, name: string): Promise<ReadonlySet<number | undefined>> {
		const statuses = new Set<number | undefined>();
		for (let index = 0; index < count; index++) {
			statuses.add(await statusOf(path, name));
		}

		return statuses;
	}

	it.each(['000', '001', '099', '600', '999'])('reaches no client, closes no path and takes no instance out of use: %s', async status => {
		const path = `/write/${status}`;
		expect(await statusesOf(invalidResponses, path, `invalid-${status}`)).toEqual(new Set([502]));
		expect(await statusesOf(validResponses, path, 'valid')).toEqual(new Set([200]));
	});
});

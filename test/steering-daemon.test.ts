import {type IncomingHttpHeaders, request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {openEndpoints} from '../platform/endpoints.js';
import {httpDialect} from '../platform/http-dialect.js';
import {KvStore} from '../platform/kv-store.js';
import {readSettings} from '../platform/settings.js';
import {steeringItems} from '../platform/steering-items.js';
import {OperatorClient} from '../src/cli/operator-client.js';
import {type Kernel} from '../src/kernel/kernel.js';
import {createSteeringDaemon} from '../src/steering-daemon.js';
import {collectBody} from '../stand-ins/collect-body.js';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {loopback} from './loopback.js';

type Daemon = {readonly kernel: Kernel; readonly host: string; readonly close: () => Promise<void>};
type Answer = {readonly status: number; readonly headers: IncomingHttpHeaders; readonly text: string};

const clientsPort = 8381;
let nextRequest = 0;

function settingsText(host: string, store: string): string {
	return `
[host]
id = "edge-${host.replaceAll('.', '-')}"
region = "dsm"
zone = "dsm-a"
[zones]
dsm-a = "dsm"
aru-a = "aru"
[listen]
clients = "${host}:${clientsPort}"
readiness = "${host}:8388"
directory = "${host}:8383"
peers = "${host}:7200"
metrics = "${host}:7201"
[store]
address = "${store}"
timeoutMs = 300
[bounds]
grace_s = 2
retry_slack = 120
cold_multiplier = 1.5
cold_tolerance = 5
unknown_bound = true
[log]
level = "error"
`;
}

async function startDaemon(store: string): Promise<Daemon> {
	const host = loopback();
	const settings = readSettings('boot.toml', settingsText(host, store));
	if (!settings.success) {
		throw new Error(JSON.stringify(settings.error));
	}

	const kernel = createSteeringDaemon({
		settings: settings.data, platform: {openStore: options => new KvStore(options), items: steeringItems, dialect: httpDialect},
	});
	const started = await kernel.start();
	if (!started.success) {
		throw new Error(started.error.message);
	}

	const closeEndpoints = await openEndpoints(kernel, settings.data.listen);
	return {
		kernel, host, async close() {
			closeEndpoints();
			await kernel.stop();
		},
	};
}

const {route, configuration, instance: instanceEntry} = platformDocuments;

async function until(isDone: () => boolean | Promise<boolean>): Promise<void> {
	const endMs = performance.now() + 8000;
	while (!await isDone()) {
		if (performance.now() > endMs) {
			throw new Error('the state that was waited for did not come');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
}

/** Sends bytes on a connection of their own; answers what came back until the far end closed it or fell silent. */
async function exchange(host: string, bytes: string, silenceMs = 400): Promise<string> {
	return new Promise(resolve => {
		let text = '';
		const socket = connect(clientsPort, host, () => {
			socket.write(bytes);
		});
		socket.setTimeout(silenceMs, () => {
			socket.destroy();
		});
		socket.on('data', data => {
			text += data.toString();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(text);
		});
	});
}

describe('daemon for published routes', () => {
	let store: KvStoreStandIn;
	let storeAddress: string;
	let daemon: Daemon;
	let instances: PlatformInstanceStandIn[];
	let addresses: string[];

	beforeEach(async () => {
		store = new KvStoreStandIn();
		const host = loopback();
		await store.listen(host, 8384);
		storeAddress = `${host}:8384`;
		instances = [new PlatformInstanceStandIn(), new PlatformInstanceStandIn()];
		addresses = [];
		for (const [index, instance] of instances.entries()) {
			const own = loopback();
			await instance.listen(own, 8080);
			addresses.push(`${own}:8080`);
			store.write(`servers/i-${index}`, instanceEntry(`${own}:8080`));
		}

		store.write('op/config', configuration(3, [
			route('read', '/read/'), route('write', '/write/', {route_type: 'non_idempotent'}), route('slow', '/slow/', {timeout_ms: 250}),
		]));
		daemon = await startDaemon(storeAddress);
	});

	afterEach(async () => {
		await daemon.close();
		await Promise.all(instances.map(async instance => instance.close()));
		await store.close();
	});

	async function request(path: string, options: {method?: string; body?: string; headers?: Record<string, string>; signal?: AbortSignal; to?: Daemon} = {}): Promise<Answer> {
		nextRequest++;
		return new Promise((resolve, reject) => {
			const req = httpRequest({
				host: (options.to ?? daemon).host,
				port: clientsPort,
				path,
				method: options.method ?? 'GET',
				signal: options.signal,
				agent: false,
				headers: {
					host: 'shop.example', 'x-request-id': `r${nextRequest}`, 'x-affinity-key': 'k', 'x-deadline-ms': '2000', 'content-length': String(options.body?.length ?? 0), ...options.headers,
				},
			}, async res => {
				resolve({status: res.statusCode!, headers: res.headers, text: await collectBody(res).catch(() => '(broken off)')});
			});
			req.on('error', reject);
			req.end(options.body);
		});
	}

	async function statusOf(path: string): Promise<number> {
		const answer = await request(path);
		return answer.status;
	}

	const isServed = async (path: string) => await statusOf(path) === 200;
	const isRefused = async (path: string) => await statusOf(path) === 503;
	const ran = () => instances.flatMap(instance => instance.ran);

	describe('requests', () => {
		it('reach an instance with method, path, query and body unchanged, and come back whole', async () => {
			const answer = await request('/write/a%20b?c=%2F&d', {method: 'POST', body: 'payload'});
			expect(answer).toMatchObject({status: 200, text: `answer to r${nextRequest}`});
			expect(answer.headers['x-kept']).toBe('yes');
			expect(ran()).toMatchObject([{method: 'POST', target: '/write/a%20b?c=%2F&d', body: 'payload'}]);
			expect(Number(ran()[0]!.headers['x-deadline-ms'])).toBeLessThanOrEqual(1000);
		});

		it('of one object go to one instance', async () => {
			for (let index = 0; index < 6; index++) {
				await request('/read/x');
			}

			expect(instances.filter(instance => instance.ran.length > 0)).toHaveLength(1);
		});

		it('without a route, without an id or with too much are refused without a send', async () => {
			expect(await request('/unknown/')).toMatchObject({status: 404});
			expect(await request('/read/', {headers: {'x-request-id': ''}})).toMatchObject({status: 400});
			expect(await request('/write/', {method: 'POST', body: 'x'.repeat(200_001)})).toMatchObject({status: 413});
			expect(await request('/read/', {headers: {'x-long': 'y'.repeat(3000)}})).toMatchObject({status: 431});
			expect(ran()).toEqual([]);
		});

		it('with a body too long to be held are streamed', async () => {
			expect(await request('/write/', {method: 'POST', body: 'z'.repeat(150_000)})).toMatchObject({status: 200});
			expect(ran()[0]!.body).toHaveLength(150_000);
		});
	});

	describe('failures of instances', () => {
		const both = (behaviour: PlatformInstanceStandIn['behaviours'][number]) => {
			for (const instance of instances) {
				instance.behaviours = [behaviour];
			}
		};

		it('that prove that nothing ran lead to another instance', async () => {
			for (const behaviour of ['shed', 'misdirect'] as const) {
				both('answer');
				const first = rendezvousFirst();
				first.behaviours = [behaviour, 'answer'];
				expect(await request('/write/', {method: 'POST', body: 'b', headers: {'x-affinity-key': `${behaviour}`}})).toMatchObject({status: 200});
			}
		});

		/** Either instance may be first for an object: both are told. */
		function rendezvousFirst(): PlatformInstanceStandIn {
			return instances[0]!;
		}

		it('that shed everywhere end as "not run", with a time to come back', async () => {
			both('shed');
			const answer = await request('/write/', {method: 'POST', body: 'b'});
			expect(answer.status).toBe(503);
			expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
			expect(ran()).toEqual([]);
		});

		it('whose queue is longer than the route\'s timeout get nothing until it has run down', async () => {
			for (const instance of instances) {
				instance.workMs = 60;
				instance.load = '3,600,3';
			}

			expect(await statusOf('/slow/x')).toBe(200);
			const before = ran().length;
			const refused = await request('/slow/x');
			expect(refused.status).toBe(503);
			expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0.5);
			expect(ran().length).toBe(before);
		});

		it('never run a request twice that may not be repeated', async () => {
			both('crash');
			expect(await request('/write/', {method: 'POST', body: 'b'})).toMatchObject({status: 502});
			expect(ran()).toHaveLength(1);
		});

		it('let a repeatable request run once more', async () => {
			both('crash');
			expect(await request('/read/c')).toMatchObject({status: 502});
			expect(ran()).toHaveLength(2);
		});

		it.each(['unsigned', 'wrong-id'] as const)('that answer %s pass nothing on', async behaviour => {
			both(behaviour);
			const answer = await request('/write/', {method: 'POST', body: 'b'});
			expect(answer).toMatchObject({status: 502, text: ''});
		});

		it('that answer with a failure of their own pass it on unchanged', async () => {
			both('fail');
			const answer = await request('/write/', {method: 'POST', body: 'b'});
			expect(answer).toMatchObject({status: 500, text: 'failed'});
			expect(answer.headers['x-response-signature']).toBe('s');
		});

		it('that stay silent end at the route\'s timeout', async () => {
			both('silent');
			const startMs = performance.now();
			expect(await request('/slow/')).toMatchObject({status: 504});
			expect(performance.now() - startMs).toBeGreaterThanOrEqual(240);
		});

		it('stop a request that breaks the instances that run it', async () => {
			both('crash');
			for (let index = 0; index < 4; index++) {
				await request('/read/poison');
			}

			const before = ran().length;
			expect(await request('/read/poison')).toMatchObject({status: 503});
			expect(ran()).toHaveLength(before);
			expect(before).toBeLessThanOrEqual(3);
		});
	});

	describe('clients', () => {
		const head = (path: string, more = '') => `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: raw\r\nX-Deadline-Ms: 2000\r\n${more}\r\n`;

		it('that leave cancel their request', async () => {
			for (const instance of instances) {
				instance.workMs = 600;
			}

			const leaving = new AbortController();
			const gone = request('/read/', {signal: leaving.signal}).catch(() => undefined);
			await until(() => ran().length === 1);
			leaving.abort();
			await gone;
			await until(() => instances.some(instance => instance.dropped.length === 1));
		});

		it('that state two lengths run nothing', async () => {
			const outer = 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n';
			const text = await exchange(daemon.host, `${outer}GET /read/smuggled HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: t\r\n\r\n`);
			expect(text).toMatch(/^HTTP\/1.1 400/);
			expect(ran()).toEqual([]);
		});

		it('that pipeline get their answers in order', async () => {
			const text = await exchange(daemon.host, head('/read/1').replace('raw', 'p1') + head('/read/2').replace('raw', 'p2'));
			expect(text.indexOf('answer to p1')).toBeGreaterThan(0);
			expect(text.indexOf('answer to p2')).toBeGreaterThan(text.indexOf('answer to p1'));
		});

		it('that send chunks reach the instance with the same body', async () => {
			await exchange(daemon.host, 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ch\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
			expect(ran()).toMatchObject([{body: 'abcde'}]);
		});

		it('that break off a body run nothing', async () => {
			await exchange(daemon.host, 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: half\r\nContent-Length: 10\r\n\r\nabc', 200);
			expect(ran()).toEqual([]);
		});

		it('that expect to be asked for their body are', async () => {
			const text = await exchange(daemon.host, 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ex\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nok');
			expect(text).toMatch(/^HTTP\/1.1 100 Continue/);
			expect(text).toContain('answer to ex');
			expect(ran()[0]!.headers.expect).toBeUndefined();
		});
	});

	describe('the store', () => {
		it('moves requests by new versions, and never back', async () => {
			store.write('op/config', configuration(5, [route('new', '/new/')]));
			await until(async () => isServed('/new/'));
			expect(await request('/read/')).toMatchObject({status: 404});
			store.write('op/config', configuration(4, [route('read', '/read/')]));
			await new Promise(resolve => {
				setTimeout(resolve, 500);
			});
			expect(await request('/new/')).toMatchObject({status: 200});
		});

		it('that holds an unreadable configuration leaves the one in force', async () => {
			store.write('op/config', '{"version": 9');
			store.write('servers/forged', {address: 1});
			await new Promise(resolve => {
				setTimeout(resolve, 500);
			});
			expect(await request('/read/')).toMatchObject({status: 200});
		});

		it('stops sends to an instance that drains, and to an evacuated zone', async () => {
			store.write('servers/i-0', instanceEntry(addresses[0]!, {state: 'draining'}));
			await until(() => daemon.kernel.get('instances').serving('books').length === 1);
			for (let index = 0; index < 5; index++) {
				await request(`/read/${index}`, {headers: {'x-affinity-key': String(index)}});
			}

			expect(instances[0]!.ran).toEqual([]);
			store.write('op/evacuate/dsm-a', {});
			await until(async () => isRefused('/read/'));
			store.remove('op/evacuate/dsm-a');
			await until(async () => isServed('/read/'));
		});

		it('that goes away stops nothing, and entries that lapsed meanwhile are kept until they are back', async () => {
			store.setFaults({mode: 'silent'});
			await until(() => daemon.kernel.get('replica').isStoreAway);
			store.remove('servers/i-0');
			store.remove('servers/i-1');
			expect(await request('/read/')).toMatchObject({status: 200});
			store.setFaults({});
			await until(() => daemon.kernel.get('replica').items.under('servers/').length === 0);
			expect(await request('/read/')).toMatchObject({status: 200});
			store.write('servers/i-0', instanceEntry(addresses[0]!));
			await until(() => daemon.kernel.get('replica').items.under('servers/').length === 1);
			await until(() => daemon.kernel.get('instances').size === 1);
			expect(await request('/read/')).toMatchObject({status: 200});
		});

		it('that compacts its history is read again', async () => {
			store.compact();
			store.write('op/config', configuration(7, [route('after', '/after/')]));
			await until(async () => isServed('/after/'));
		});
	});

	describe('several hosts', () => {
		it('find each other, bring each other up to date without the store, and are named to clients until they stop', async () => {
			const other = await startDaemon(storeAddress);
			const namesHosts = async (count: number) => {
				const res = await fetch(`http://${daemon.host}:8383/-/resolve?name=shop.example&region=dsm&zone=dsm-a`);
				const {addresses: hosts} = await res.json() as {addresses: string[]};
				return hosts.length === count;
			};

			const readiness = async (host: string) => {
				const res = await fetch(`http://${host}:8388/-/readyz`);
				return res.status;
			};

			await until(async () => namesHosts(2));
			const status = await new OperatorClient(`${daemon.host}:7201`).status('system');
			expect(status.success && status.data.hosts.map(host => [host.id, host.phase, host.revision])).toEqual([
				[`edge-${daemon.host.replaceAll('.', '-')}`, 'serving', 3], [`edge-${other.host.replaceAll('.', '-')}`, 'serving', 3],
			]);
			store.setFaults({mode: 'busy'});
			const stopping = other.kernel.get('stop').stop();
			await until(async () => namesHosts(1));
			const last = await request('/read/', {to: other});
			expect(last.headers.connection).toBe('close');
			expect(await readiness(other.host)).toBe(503);
			expect(await readiness(daemon.host)).toBe(200);
			await stopping;
			store.setFaults({});
			await other.close();
		});
	});
});

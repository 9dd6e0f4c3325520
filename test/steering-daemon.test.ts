import {type IncomingHttpHeaders, request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {OperatorClient} from '../src/cli/operator-client.js';
import {collectBody} from '../stand-ins/collect-body.js';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';
import {until} from './until.js';

type Daemon = Awaited<ReturnType<typeof startSteeringDaemon>>;
type ClientResponse = {readonly status: number; readonly headers: IncomingHttpHeaders; readonly text: string};

const clientsPort = 8381;
let nextRequest = 0;

const {route, configuration, instance: instanceEntry} = platformDocuments;

/** Sends bytes on a new connection; returns what was received until the peer closed it or sent nothing for `silenceMs`. */
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
		const host = nextLoopbackAddress();
		await store.listen(host, 8384);
		storeAddress = `${host}:8384`;
		instances = [new PlatformInstanceStandIn(), new PlatformInstanceStandIn()];
		addresses = [];
		for (const [index, instance] of instances.entries()) {
			const instanceHost = nextLoopbackAddress();
			await instance.listen(instanceHost, 8080);
			addresses.push(`${instanceHost}:8080`);
			store.write(`servers/i-${index}`, instanceEntry(`${instanceHost}:8080`));
		}

		store.write('op/config', configuration(3, [
			route('read', '/read/'), route('write', '/write/', {route_type: 'non_idempotent'}), route('slow', '/slow/', {timeout_ms: 250}),
		]));
		daemon = await startSteeringDaemon(storeAddress);
	});

	afterEach(async () => {
		await daemon.close();
		await Promise.all(instances.map(async instance => instance.close()));
		await store.close();
	});

	async function request(path: string, options: {method?: string; body?: string; headers?: Record<string, string>; signal?: AbortSignal; to?: Daemon} = {}): Promise<ClientResponse> {
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
		const response = await request(path);
		return response.status;
	}

	const isServed = async (path: string) => await statusOf(path) === 200;
	const isRefused = async (path: string) => await statusOf(path) === 503;
	const executedRequests = () => instances.flatMap(instance => instance.executedRequests);

	describe('requests', () => {
		it('reach an instance with method, path, query and body unchanged, and receive its complete response', async () => {
			const response = await request('/write/a%20b?c=%2F&d', {method: 'POST', body: 'payload'});
			expect(response).toMatchObject({status: 200, text: `answer to r${nextRequest}`});
			expect(response.headers['x-kept']).toBe('yes');
			expect(executedRequests()).toMatchObject([{method: 'POST', target: '/write/a%20b?c=%2F&d', body: 'payload'}]);
			expect(Number(executedRequests()[0]!.headers['x-deadline-ms'])).toBeLessThanOrEqual(1000);
		});

		it('bring the time factor of an instance that reports one, and are answered as usual if it reports nonsense', async () => {
			const queueOf = (id: string) => daemon.kernel.get('instances').get(id)!.queue;
			for (const instance of instances) {
				instance.timePercent = 70_000;
			}

			expect(await request('/read/x')).toMatchObject({status: 200});
			expect(['i-0', 'i-1'].some(id => queueOf(id).hasTimeFactor)).toBe(false);
			for (const instance of instances) {
				instance.timePercent = 300;
			}

			expect(await request('/read/x')).toMatchObject({status: 200});
			const served = ['i-0', 'i-1'].find(id => queueOf(id).hasTimeFactor)!;
			expect(queueOf(served).timeFactor(100, 0, performance.now())).toBe(3);
		});

		it('for one object are sent to one instance', async () => {
			for (let index = 0; index < 6; index++) {
				await request('/read/x');
			}

			expect(instances.filter(instance => instance.executedRequests.length > 0)).toHaveLength(1);
		});

		it('without a route, without an id or with too large a body or header are refused and not sent', async () => {
			expect(await request('/unknown/')).toMatchObject({status: 404});
			expect(await request('/read/', {headers: {'x-request-id': ''}})).toMatchObject({status: 400});
			expect(await request('/write/', {method: 'POST', body: 'x'.repeat(200_001)})).toMatchObject({status: 413});
			expect(await request('/read/', {headers: {'x-long': 'y'.repeat(3000)}})).toMatchObject({status: 431});
			expect(executedRequests()).toEqual([]);
		});

		it('with a body too large to be buffered are streamed', async () => {
			expect(await request('/write/', {method: 'POST', body: 'z'.repeat(150_000)})).toMatchObject({status: 200});
			expect(executedRequests()[0]!.body).toHaveLength(150_000);
		});
	});

	describe('failing instances', () => {
		const setBehaviour = (behaviour: PlatformInstanceStandIn['behaviours'][number]) => {
			for (const instance of instances) {
				instance.behaviours = [behaviour];
			}
		};

		it.each(['shed', 'misdirect'] as const)('that %s a request, so that it did not run, cause an attempt at another instance', async behaviour => {
			const post = async () => request('/write/', {method: 'POST', body: 'b', headers: {'x-affinity-key': behaviour}});
			await post();
			const [assigned, other] = instances.toSorted((a, b) => b.executedRequests.length - a.executedRequests.length) as [PlatformInstanceStandIn, PlatformInstanceStandIn];
			expect(assigned.executedRequests).toHaveLength(1);
			assigned.behaviours = [behaviour, 'answer'];
			expect(await post()).toMatchObject({status: 200});
			expect(assigned.behaviours).toEqual(['answer']);
			expect(assigned.executedRequests).toHaveLength(1);
			expect(other.executedRequests).toHaveLength(1);
		});

		it('that all shed result in status 503 with a retry time, and nothing runs', async () => {
			setBehaviour('shed');
			const response = await request('/write/', {method: 'POST', body: 'b'});
			expect(response.status).toBe(503);
			expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
			expect(executedRequests()).toEqual([]);
		});

		it('whose queue takes longer than the route\'s timeout receive no requests; the caller receives a retry time', async () => {
			for (const instance of instances) {
				instance.runMs = 60;
				instance.load = '3,600,3';
			}

			expect(await statusOf('/slow/x')).toBe(200);
			const before = executedRequests().length;
			const refused = await request('/slow/x');
			expect(refused.status).toBe(503);
			expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0.5);
			expect(executedRequests().length).toBe(before);
		});

		const sendUntilServedElsewhere = async (instance: PlatformInstanceStandIn) => {
			for (let index = 0; index < 4; index++) {
				await request('/write/', {method: 'POST', body: 'b', headers: {'x-affinity-key': `k${index}`}});
			}

			return instance.executedRequests.length;
		};

		it('that state in a response that they are leaving receive no further request, though the store lists them as ready', async () => {
			const [leaving] = instances as [PlatformInstanceStandIn];
			leaving.isLeaving = true;
			const executed = await sendUntilServedElsewhere(leaving);
			expect(executed).toBeLessThanOrEqual(1);
			store.write('servers/i-0', instanceEntry(addresses[0]!, {sequence: 9}));
			await until(() => daemon.kernel.get('replica').items.withPrefix('servers/i-0')[0]!.value.includes('"sequence":9'));
			expect(await sendUntilServedElsewhere(leaving)).toBe(executed);
		});

		it('that are all leaving cause immediate refusals, and nothing more runs', async () => {
			for (const instance of instances) {
				instance.isLeaving = true;
			}

			await sendUntilServedElsewhere(instances[0]!);
			const before = executedRequests().length;
			const startMs = performance.now();
			expect(await request('/write/', {method: 'POST', body: 'b'})).toMatchObject({status: 503});
			expect(performance.now() - startMs).toBeLessThan(200);
			expect(executedRequests()).toHaveLength(before);
		});

		it('that ask for a pause receive no requests until it ends; the caller is told the rest of the shortest one', async () => {
			for (const [index, instance] of instances.entries()) {
				instance.behaviours = ['pause', 'answer'];
				instance.pauseSeconds = index === 0 ? '0.9' : '30';
			}

			const first = await request('/write/', {method: 'POST', body: 'b'});
			expect(first.status).toBe(503);
			const refused = await request('/write/', {method: 'POST', body: 'b'});
			expect(refused.status).toBe(503);
			expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
			expect(Number(refused.headers['retry-after'])).toBeLessThanOrEqual(0.9);
			expect(executedRequests()).toEqual([]);
			await until(async () => await statusOf('/read/') === 200);
			expect(instances[1]!.executedRequests).toEqual([]);
		});

		it('that ask for a pause have the request sent to another instance', async () => {
			instances[0]!.behaviours = ['pause', 'answer'];
			instances[1]!.behaviours = ['answer'];
			const responses = await Promise.all(Array.from({length: 4}, async (_, index) => request('/write/', {method: 'POST', body: 'b', headers: {'x-affinity-key': `k${index}`}})));
			expect(responses.map(response => response.status)).toEqual([200, 200, 200, 200]);
		});

		it('that crash run a non-repeatable request only once', async () => {
			setBehaviour('crash');
			expect(await request('/write/', {method: 'POST', body: 'b'})).toMatchObject({status: 502});
			expect(executedRequests()).toHaveLength(1);
		});

		it('that crash cause one retry of a repeatable request', async () => {
			setBehaviour('crash');
			expect(await request('/read/c')).toMatchObject({status: 502});
			expect(executedRequests()).toHaveLength(2);
		});

		it.each(['unsigned', 'wrong-id'] as const)('whose response is %s result in status 502 without a body', async behaviour => {
			setBehaviour(behaviour);
			const response = await request('/write/', {method: 'POST', body: 'b'});
			expect(response).toMatchObject({status: 502, text: ''});
		});

		it('that respond with an error status have their response passed on unchanged', async () => {
			setBehaviour('fail');
			const response = await request('/write/', {method: 'POST', body: 'b'});
			expect(response).toMatchObject({status: 500, text: 'failed'});
			expect(response.headers['x-response-signature']).toBe('s');
		});

		it('that do not respond result in status 504 at the route\'s timeout', async () => {
			setBehaviour('silent');
			const startMs = performance.now();
			expect(await request('/slow/')).toMatchObject({status: 504});
			expect(performance.now() - startMs).toBeGreaterThanOrEqual(240);
		});

		it('that crash while they run a request cause its quarantine', async () => {
			setBehaviour('crash');
			for (let index = 0; index < 4; index++) {
				await request('/read/poison');
			}

			const before = executedRequests().length;
			expect(await request('/read/poison')).toMatchObject({status: 503});
			expect(executedRequests()).toHaveLength(before);
			expect(before).toBeLessThanOrEqual(3);
		});
	});

	describe('clients', () => {
		const requestText = (path: string, extraHeaders = '') => `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: raw\r\nX-Deadline-Ms: 2000\r\n${extraHeaders}\r\n`;

		it('that disconnect cancel their request', async () => {
			for (const instance of instances) {
				instance.runMs = 600;
			}

			const controller = new AbortController();
			const cancelled = request('/read/', {signal: controller.signal}).catch(() => undefined);
			await until(() => executedRequests().length === 1);
			controller.abort();
			await cancelled;
			await until(() => instances.some(instance => instance.cancelledRequestIds.length === 1));
		});

		it.each(['ends', 'destroys'] as const)('that leave before their request is read cause no send when the client %s its connection', async ending => {
			const socket = connect(clientsPort, daemon.host, () => {
				socket.write(requestText('/read/first').replace('raw', 'first'));
			});
			await new Promise(resolve => {
				socket.once('data', resolve);
			});
			socket.write(requestText('/read/second').replace('raw', 'second'));
			if (ending === 'ends') {
				socket.end();
			} else {
				socket.destroy();
			}

			await request('/read/third');
			expect(executedRequests().map(({target}) => target).toSorted()).toEqual(['/read/first', '/read/third']);
			socket.destroy();
		});

		it('that send both a content length and chunked encoding are refused, and nothing runs', async () => {
			const twoLengths = 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n';
			const text = await exchange(daemon.host, `${twoLengths}GET /read/smuggled HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: t\r\n\r\n`);
			expect(text).toMatch(/^HTTP\/1.1 400/);
			expect(executedRequests()).toEqual([]);
		});

		it('that pipeline requests receive the responses in order', async () => {
			const text = await exchange(daemon.host, requestText('/read/1').replace('raw', 'p1') + requestText('/read/2').replace('raw', 'p2'));
			expect(text.indexOf('answer to p1')).toBeGreaterThan(0);
			expect(text.indexOf('answer to p2')).toBeGreaterThan(text.indexOf('answer to p1'));
		});

		it('that send a chunked body have it delivered to the instance unchanged', async () => {
			await exchange(daemon.host, 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ch\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
			expect(executedRequests()).toMatchObject([{body: 'abcde'}]);
		});

		it('that send an incomplete body cause no request to run', async () => {
			await exchange(daemon.host, 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: half\r\nContent-Length: 10\r\n\r\nabc', 200);
			expect(executedRequests()).toEqual([]);
		});

		it('that send "Expect: 100-continue" receive status 100 and then the response', async () => {
			const text = await exchange(daemon.host, 'POST /write/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ex\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nok');
			expect(text).toMatch(/^HTTP\/1.1 100 Continue/);
			expect(text).toContain('answer to ex');
			expect(executedRequests()[0]!.headers.expect).toBeUndefined();
		});
	});

	describe('store', () => {
		it('changes the routes with a newer configuration but not with an older one', async () => {
			store.write('op/config', configuration(5, [route('new', '/new/')]));
			await until(async () => isServed('/new/'));
			expect(await request('/read/')).toMatchObject({status: 404});
			store.write('op/config', configuration(4, [route('read', '/read/')]));
			await new Promise(resolve => {
				setTimeout(resolve, 500);
			});
			expect(await request('/new/')).toMatchObject({status: 200});
		});

		it('does not replace the configuration in force with an unreadable one', async () => {
			store.write('op/config', '{"version": 9');
			store.write('servers/forged', {address: 1});
			await new Promise(resolve => {
				setTimeout(resolve, 500);
			});
			expect(await request('/read/')).toMatchObject({status: 200});
		});

		it('stops sends to a draining instance and to an evacuated zone', async () => {
			store.write('servers/i-0', instanceEntry(addresses[0]!, {state: 'draining'}));
			await until(() => daemon.kernel.get('instances').serving('books').length === 1);
			for (let index = 0; index < 5; index++) {
				await request(`/read/${index}`, {headers: {'x-affinity-key': String(index)}});
			}

			expect(instances[0]!.executedRequests).toEqual([]);
			store.write('op/evacuate/dsm-a', {});
			await until(async () => isRefused('/read/'));
			store.remove('op/evacuate/dsm-a');
			await until(async () => isServed('/read/'));
		});

		it('does not interrupt service while unavailable; instances whose entries were removed meanwhile are used until one is written again', async () => {
			store.setFaults({mode: 'silent'});
			await until(() => daemon.kernel.get('replica').isStoreUnavailable);
			store.remove('servers/i-0');
			store.remove('servers/i-1');
			expect(await request('/read/')).toMatchObject({status: 200});
			store.setFaults({});
			await until(() => daemon.kernel.get('replica').items.withPrefix('servers/').length === 0);
			expect(await request('/read/')).toMatchObject({status: 200});
			store.write('servers/i-0', instanceEntry(addresses[0]!));
			await until(() => daemon.kernel.get('replica').items.withPrefix('servers/').length === 1);
			await until(() => daemon.kernel.get('instances').size === 1);
			expect(await request('/read/')).toMatchObject({status: 200});
		});

		it('is read in full again after it compacts its history', async () => {
			store.compact();
			store.write('op/config', configuration(7, [route('after', '/after/')]));
			await until(async () => isServed('/after/'));
		});
	});

	describe('several hosts', () => {
		it('learn from each other that an instance stated that it leaves, while the store is unavailable', async () => {
			const other = await startSteeringDaemon(storeAddress);
			await until(() => daemon.kernel.get('members').membership.alive().length === 2 && other.kernel.get('members').membership.alive().length === 2);
			store.setFaults({mode: 'silent'});
			for (const instance of instances) {
				instance.isLeaving = true;
			}

			await request('/read/');
			const leavingAt = (host: Daemon) => host.kernel.get('instances').leaving().map(({id}) => id);
			await until(() => leavingAt(daemon).length === 1);
			await until(() => leavingAt(other).length === 1);
			expect(leavingAt(other)).toEqual(leavingAt(daemon));
			expect(executedRequests()).toHaveLength(1);
			store.setFaults({});
			await other.close();
		});

		it('that restart while the store is unavailable use no instance and no route that was removed before', async () => {
			store.write('servers/i-1', instanceEntry(addresses[1]!, {state: 'draining'}));
			store.remove('servers/i-1');
			store.write('op/config', configuration(4, [route('read', '/read/')]));
			await until(() => daemon.kernel.get('steering').routes?.version === 4 && daemon.kernel.get('instances').size === 1);
			store.setFaults({mode: 'silent'});
			const restarted = await startSteeringDaemon(storeAddress, {seeds: [`${daemon.host}:7200`]});
			await until(() => restarted.kernel.get('steering').routes !== undefined);
			expect(restarted.kernel.get('steering').routes?.version).toBe(4);
			expect(restarted.kernel.get('instances').serving('books').map(entry => entry.instance.id)).toEqual(['i-0']);
			const writeStatus = async () => {
				const {status} = await request('/write/', {method: 'POST', body: 'b', to: restarted});
				return status;
			};

			// A later version may have the route again, until the store or a watcher confirms that there is none.
			expect(await writeStatus()).toBe(503);
			store.setFaults({});
			await until(async () => {
				const status = await writeStatus();
				expect([404, 503]).toContain(status);
				return status === 404;
			});
			await restarted.close();
		});

		it('discover each other, exchange updates while the store is unavailable, and are returned by lookups until they stop', async () => {
			const other = await startSteeringDaemon(storeAddress);
			const resolvesHostCount = async (count: number) => {
				const res = await fetch(`http://${daemon.host}:8383/-/resolve?name=shop.example&region=dsm&zone=dsm-a`);
				const {addresses: hosts} = await res.json() as {addresses: string[]};
				return hosts.length === count;
			};

			const readiness = async (host: string) => {
				const res = await fetch(`http://${host}:8388/-/readyz`);
				return res.status;
			};

			await until(async () => resolvesHostCount(2));
			const status = await new OperatorClient(`${daemon.host}:7201`).status('system');
			expect(status.success && status.data.hosts.map(host => [host.id, host.phase, host.revision])).toEqual([
				[`edge-${daemon.host.replaceAll('.', '-')}`, 'serving', 3], [`edge-${other.host.replaceAll('.', '-')}`, 'serving', 3],
			]);
			store.setFaults({mode: 'busy'});
			const stopping = other.kernel.get('stop').stop();
			await until(async () => resolvesHostCount(1));
			const lastResponse = await request('/read/', {to: other});
			expect(lastResponse.headers.connection).toBe('close');
			expect(await readiness(other.host)).toBe(503);
			expect(await readiness(daemon.host)).toBe(200);
			await stopping;
			store.setFaults({});
			await other.close();
		});

		it('learn each other\'s size from the store and how busy each is by gossip, and name a small host to fewer clients', async () => {
			const cpuShares = [0.1, 0.5, 0.5, 0.7];
			const others = await Promise.all(cpuShares.map(async cpuShare => startSteeringDaemon(storeAddress, {
				capacity: {
					cpuShare, cores: 2, memoryMb: 400, maxDescriptors: 2069, linkMbps: 70,
				},
			})));
			const [small, last] = [others[0]!, others.at(-1)!];
			const directory = last.kernel.get('directory');
			const countNamed = (host: string) => Array.from({length: 200}, (_, index) => directory.resolve('dsm-a', `10.0.0.${index}`).addresses)
				.filter(addresses => addresses.includes(`${host}:8381`)).length;
			const idOf = (host: string) => `edge-${host.replaceAll('.', '-')}`;
			await until(() => last.kernel.get('members').membership.candidates().length === 5 && last.kernel.get('steering').hosts.size === 5);
			await until(() => last.kernel.get('steering').hosts.get(idOf(small.host))?.size !== undefined);
			expect(last.kernel.get('steering').hosts.get(idOf(small.host))?.size).toEqual({processor: 0.2, linkMbps: 70});
			expect(last.kernel.get('steering').hosts.get(idOf(daemon.host))?.size).toBeUndefined();
			const usual = countNamed(small.host);
			expect(usual).toBeLessThan(0.5 * countNamed(others[1]!.host));
			const {membership} = others[1]!.kernel.get('members');
			others[1]!.kernel.get('members').run(membership.setBusyLevel(3));
			await until(() => last.kernel.get('members').membership.busyLevelOf(`${membership.self.id}/${membership.self.boot}`) === 3);
			expect(countNamed(others[1]!.host)).toBeLessThan(countNamed(others[2]!.host));
			await Promise.all(others.map(async other => other.close()));
		});
	});
});

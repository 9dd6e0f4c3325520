import {once} from 'node:events';
import {
	type ClientRequest, type IncomingHttpHeaders, type IncomingMessage, Agent, request as httpRequest,
} from 'node:http';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {Placement} from '../src/decisions/placement.js';
import {Logger} from '../src/services/logger.js';
import {PlannerService} from '../src/services/planner-service.js';
import {collectBody} from '../stand-ins/collect-body.js';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {LinkStandIn} from '../stand-ins/link-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';
import {until} from './until.js';

const {route, account, configuration, instance: instanceEntry} = platformDocuments;
const routes = [route('read', '/read/'), route('open', '/open/', {public: true}), route('aru', '/aru/', {allowed_regions: ['aru']})];
const accounts = [
	account('acme', ['k-acme', 'k-old'], {priority: 0}), account('southern', ['k-south'], {allowed_regions: ['aru']}), account('northern', ['k-north'], {allowed_regions: ['dsm']}),
];

describe('client accounts', () => {
	let store: KvStoreStandIn;
	let storeAddress: string;
	let daemon: Awaited<ReturnType<typeof startSteeringDaemon>>;
	/** One instance in each region. */
	let instances: {readonly dsm: PlatformInstanceStandIn; readonly aru: PlatformInstanceStandIn};
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const usualHeaders = {host: 'shop.example', 'x-affinity-key': 'k'};
	let nextRequest = 0;
	let responseHeaders: IncomingHttpHeaders = {};

	beforeEach(async () => {
		store = new KvStoreStandIn();
		const host = nextLoopbackAddress();
		await store.listen(host, 8384);
		storeAddress = `${host}:8384`;
		instances = {dsm: new PlatformInstanceStandIn(), aru: new PlatformInstanceStandIn()};
		for (const [region, instance] of Object.entries(instances)) {
			const instanceHost = nextLoopbackAddress();
			await instance.listen(instanceHost, 8080);
			store.write(`servers/${region}`, instanceEntry(`${instanceHost}:8080`, {zone: `${region}-a`}));
		}

		store.write('op/config', configuration(3, [...routes, ...accounts]));
		daemon = await startSteeringDaemon(storeAddress);
	});

	afterEach(async () => {
		vi.restoreAllMocks();
		await daemon.close();
		await Promise.all(Object.values(instances).map(async instance => instance.close()));
		await store.close();
	});

	async function send(path: string, headers: Record<string, string> = {}, host = daemon.host, sendBody: (req: ClientRequest) => unknown = req => req.end()): Promise<number> {
		nextRequest++;
		const req = httpRequest(`http://${host}:8381${path}`, {agent, headers: {...usualHeaders, 'x-request-id': `r${nextRequest}`, ...headers}});
		void sendBody(req);
		const [res] = await once(req, 'response') as [IncomingMessage];
		responseHeaders = res.headers;
		await collectBody(res);
		return res.statusCode!;
	}

	const withKey = (key: string) => ({authorization: `Token ${key}`});
	const executed = () => Object.values(instances).flatMap(instance => instance.executedRequests);
	const received = (): IncomingHttpHeaders => executed().at(-1)!.headers;
	const inForce = async (version: number, host = daemon) => until(() => host.kernel.get('steering').routes?.version === version);
	/** Withdraws the key `k-old`; resolves when the daemon has the configuration. */
	const withdraw = async () => {
		store.write('op/config', configuration(4, [...routes, account('acme', ['k-acme'])]));
		await inForce(4);
	};

	it('refuse a request without a known key before it reaches an instance', async () => {
		expect(await send('/read/')).toBe(401);
		expect(responseHeaders['www-authenticate']).toBe('Token');
		expect(await send('/read/', withKey('k-unknown'))).toBe(401);
		expect(await send('/read/', {authorization: 'Basic k-acme'})).toBe(401);
		expect(await send('/unknown/')).toBe(404);
		expect(executed()).toEqual([]);
	});

	it('are named to the instance by the daemon alone, and their keys are not passed on', async () => {
		expect(await send('/read/', {...withKey('k-acme'), 'X-TENANT-id': 'forged'})).toBe(200);
		expect(received()).toMatchObject({'x-tenant-id': 'acme', 'x-request-id': `r${nextRequest}`});
		expect(received().authorization).toBeUndefined();
	});

	it('are optional on a public route, where neither a key nor a forged name is passed on', async () => {
		for (const [headers, name] of [[withKey('k-unknown'), undefined], [{}, undefined], [withKey('k-acme'), 'acme']] as const) {
			expect(await send('/open/', {...headers, 'x-tenant-id': 'forged'})).toBe(200);
			expect([received()['x-tenant-id'], received().authorization]).toEqual([name, undefined]);
		}
	});

	it('change nothing in a configuration that has none', async () => {
		store.write('op/config', configuration(4, routes));
		await inForce(4);
		expect(await send('/read/', {authorization: 'Bearer x', 'x-tenant-id': 'theirs'})).toBe(200);
		expect(received()).toMatchObject({authorization: 'Bearer x', 'x-tenant-id': 'theirs'});
	});

	it('are not refused by a host that knows no configuration', async () => {
		store.remove('op/config');
		const other = await startSteeringDaemon(storeAddress);
		expect(await send('/read/', {}, other.host)).toBe(503);
		await other.close();
	});

	it('have their requests run only in regions that they and the route allow, or refused as not run', async () => {
		expect(await send('/read/', withKey('k-south'))).toBe(200);
		expect(instances.aru.executedRequests).toHaveLength(1);
		expect(await send('/aru/', withKey('k-north'))).toBe(503);
		expect(executed()).toHaveLength(1);
	});

	it('have their requests planned with their own priority and regions', async () => {
		const choose = vi.spyOn(Placement.prototype, 'choose');
		const recordRun = vi.spyOn(PlannerService.prototype, 'recordRun');
		const assigned = daemon.kernel.get('planner').assignments;
		await until(async () => {
			await send('/read/', withKey('k-acme'));
			await send('/read/', withKey('k-south'));
			return assigned.has('books|0|k') && assigned.get('books|1|k\naru') === 'aru';
		});
		expect(assigned.has('books|1|k')).toBe(false);
		expect(choose.mock.calls.slice(0, 2).map(([req]) => req)).toMatchObject([
			{priority: 0, objectKey: 'k', allowedRegions: []}, {priority: 1, objectKey: 'k\naru', allowedRegions: ['aru']},
		]);
		expect(recordRun.mock.calls.map(([{priority, objectKey}]) => `${priority} ${objectKey}`)).toContain('0 k');
	});

	it('lose a withdrawn key on connections that are open, and keep their others', async () => {
		expect(await send('/read/', withKey('k-old'))).toBe(200);
		await withdraw();
		expect(await send('/read/', withKey('k-old'))).toBe(401);
		expect(await send('/read/', withKey('k-acme'))).toBe(200);
	});

	it('lose a key that is withdrawn while the body of a request arrives', async () => {
		expect(await send('/read/', {...withKey('k-old'), 'content-length': '8'}, daemon.host, async req => {
			req.write('begin');
			await until(() => daemon.kernel.get('proxy').inFlight === 1);
			await withdraw();
			req.end('end');
		})).toBe(401);
		expect(executed()).toEqual([]);
	});

	it('keep the configuration in force if two hold the same key, with both names and no key in the log', async () => {
		const lines: string[] = [];
		for (const method of ['error', 'info', 'warn', 'limited'] as const) {
			vi.spyOn(Logger.prototype, method).mockImplementation((...args: readonly unknown[]) => {
				lines.push(JSON.stringify(args));
			});
		}

		store.write('op/config', configuration(4, [...routes, account('acme', ['k-acme']), account('globex', ['k-acme'])]));
		await until(() => lines.some(line => line.includes('cannot be decoded')));
		expect(lines.find(line => line.includes('cannot be decoded'))).toMatch(/(?=.*acme)(?=.*globex)/);
		expect(await send('/read/', withKey('k-acme'))).toBe(200);
		expect(await send('/read/', withKey('k-unknown'))).toBe(401);
		expect(lines.find(line => line.includes('"unauthorized"'))).toContain('"cause":"unknown_key"');
		expect([...lines, daemon.kernel.get('metrics').render()].filter(text => /k-(?:acme|unknown)/.test(text))).toEqual([]);
		expect(daemon.kernel.get('metrics').render()).not.toContain('acme');
	});

	it('lose a withdrawn key at a host that the store turns away once a peer has the new configuration', async () => {
		const link = new LinkStandIn(storeAddress);
		const linkHost = nextLoopbackAddress();
		await link.listen(linkHost, 8384);
		const cutOff = await startSteeringDaemon(`${linkHost}:8384`);
		await until(() => daemon.kernel.get('members').membership.candidates().length === 2);
		expect(await send('/read/', withKey('k-old'), cutOff.host)).toBe(200);
		link.cut();
		await withdraw();
		await inForce(4, cutOff);
		expect(await send('/read/', withKey('k-old'), cutOff.host)).toBe(401);
		expect(await send('/read/', withKey('k-acme'), cutOff.host)).toBe(200);
		await cutOff.close();
		await link.close();
	});
});

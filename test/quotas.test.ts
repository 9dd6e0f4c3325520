import {type IncomingHttpHeaders, request as httpRequest} from 'node:http';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {collectBody} from '../stand-ins/collect-body.js';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';
import {until} from './until.js';

const {route, account, configuration, instance: instanceEntry} = platformDocuments;
const accounts = [
	account('limited', ['k-limited'], {rate_per_s: 5, burst: 10}), account('free', ['k-free']), account('lost', ['k-lost'], {rate_per_s: 5, burst: 10, allowed_regions: ['aru']}),
];
const boundOfLimited = (seconds: number) => (((5 * seconds) + 10) * 1.1) + 20;

describe('quotas of accounts', () => {
	let store: KvStoreStandIn;
	let instance: PlatformInstanceStandIn;
	let daemons: Array<Awaited<ReturnType<typeof startSteeringDaemon>>>;
	let startMs: number;
	let nextRequest = 0;

	beforeEach(async () => {
		store = new KvStoreStandIn();
		const storeHost = nextLoopbackAddress();
		await store.listen(storeHost, 8384);
		instance = new PlatformInstanceStandIn();
		const instanceHost = nextLoopbackAddress();
		await instance.listen(instanceHost, 8080);
		store.write('servers/i-0', instanceEntry(`${instanceHost}:8080`));
		store.write('op/config', configuration(3, [route('read', '/read/'), ...accounts]));
		startMs = performance.now();
		daemons = [];
		for (let index = 0; index < 2; index++) {
			daemons.push(await startSteeringDaemon(`${storeHost}:8384`));
		}
	});

	afterEach(async () => {
		await Promise.all(daemons.map(async daemon => daemon.close()));
		await instance.close();
		await store.close().catch(() => undefined);
	});

	async function send(key: string, to: number): Promise<{readonly status: number; readonly headers: IncomingHttpHeaders}> {
		nextRequest++;
		return new Promise((resolve, reject) => {
			const req = httpRequest({
				host: daemons[to]!.host, port: 8381, path: '/read/', headers: {
					host: 'shop.example', authorization: `Token ${key}`, 'x-request-id': `q${nextRequest}`,
				},
			}, async res => {
				await collectBody(res);
				resolve({status: res.statusCode!, headers: res.headers});
			});
			req.on('error', reject);
			req.end();
		});
	}

	async function statusOf(key: string, to: number): Promise<number> {
		const {status} = await send(key, to);
		return status;
	}

	const slotsOf = (of: number) => daemons[of]!.kernel.get('metrics').render().split('\n').find(line => line.startsWith('cowslipspar_quota_slots '))?.split(' ')[1];

	it('bound what all hosts send together, refuse the rest with status 429 and a time, and do not count other accounts', async () => {
		await until(async () => await statusOf('k-limited', 0) === 200);
		const runsBefore = instance.executedRequests.length;
		const responses = await Promise.all(Array.from({length: 120}, async (_, index) => send('k-limited', index % 2)));
		const statuses = responses.map(res => res.status);
		const runs = statuses.filter(status => status === 200).length;
		expect(new Set(statuses)).toEqual(new Set([200, 429]));
		expect(instance.executedRequests.length - runsBefore).toBe(runs);
		expect(runsBefore + runs).toBeLessThanOrEqual(boundOfLimited((performance.now() - startMs) / 1000));
		const refused = responses.find(res => res.status === 429)!;
		expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
		for (let round = 0; round < 50; round++) {
			expect(await statusOf('k-free', round % 2)).toBe(200);
		}
	});

	it('are divided among the hosts, which claim each slot once', async () => {
		await until(() => slotsOf(0) === '8' && slotsOf(1) === '8');
	});

	it('serve requests at a host that has no slots, with what another host lends', async () => {
		await until(() => slotsOf(0) === '8' && slotsOf(1) === '8');
		daemons[0]!.kernel.get('quotaSlots').drain();
		await until(() => slotsOf(0) === '0');
		// The first requests may still use what this host has.
		await Promise.all(Array.from({length: 40}, async () => send('k-limited', 0)));
		await until(async () => await statusOf('k-limited', 0) === 200);
		expect(daemons[0]!.kernel.get('metrics').render()).toContain('cowslipspar_quota_calls{result="answered"}');
	});

	it('go on while the store answers nobody', async () => {
		await until(() => slotsOf(0) === '8' && slotsOf(1) === '8');
		await store.close();
		await until(async () => await statusOf('k-limited', 0) === 200 && await statusOf('k-limited', 1) === 200);
	});

	it('take the token back of a request that every instance refused, so that it is not lost to others', async () => {
		const returned = () => daemons[0]!.kernel.get('metrics').render().includes('cowslipspar_quota_tokens_returned ');
		await until(async () => await statusOf('k-limited', 0) === 200);
		expect(returned()).toBe(false);
		instance.behaviours = ['shed'];
		await until(async () => await statusOf('k-limited', 0) === 503);
		expect(returned()).toBe(true);
	});

	it('are not charged for requests that cannot run anywhere', async () => {
		for (let round = 0; round < 60; round++) {
			expect(await statusOf('k-lost', 0)).toBe(503);
		}
	});
});

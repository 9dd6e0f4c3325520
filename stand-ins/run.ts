import {createServer} from 'node:http';
import process from 'node:process';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {collectBody} from './collect-body.js';
import {HostListStandIn} from './host-list-stand-in.js';
import {StoreStandIn} from './store-stand-in.js';
import {UpstreamStandIn} from './upstream-stand-in.js';

type InstancePlan = {readonly id: string; readonly address: string; readonly slots: number; readonly meanMs: number};

type Plan =
	| {readonly kind: 'store'; readonly address: string}
	| {readonly kind: 'host-list'; readonly address: string; readonly lagMs: number}
	| {readonly kind: 'upstreams'; readonly control: string; readonly seed: number; readonly instances: readonly InstancePlan[]};

const backlog = 4;
const coldRequests = 20;
const restartMs = 1000;

function split(address: string): {host: string; port: number} {
	const [host = '127.0.0.1', port = '0'] = address.split(':');
	return {host, port: Number(port)};
}

/** Starts the instances of one place, with a control address to change their behaviour and read what ran. */
async function runUpstreams(plan: Plan & {kind: 'upstreams'}): Promise<void> {
	const instances = new Map<string, UpstreamStandIn>();
	for (const [index, item] of plan.instances.entries()) {
		const random = new SeededRandom(plan.seed + index);
		const instance = new UpstreamStandIn({
			id: item.id, slots: item.slots, backlog, meanMs: item.meanMs, random: () => random.next(), coldRequests, restartMs,
		});
		const {host, port} = split(item.address);
		await instance.listen(host, port);
		instances.set(item.id, instance);
	}

	const control = createServer((req, res) => {
		void handleControl(instances, req.url ?? '/', req.method ?? 'GET', collectBody(req)).then(answer => res.end(JSON.stringify(answer)));
	});
	const {host, port} = split(plan.control);
	control.listen(port, host);
}

async function handleControl(instances: ReadonlyMap<string, UpstreamStandIn>, url: string, method: string, body: Promise<string>): Promise<unknown> {
	const [, verb = '', id = ''] = url.split('/');
	const text = await body;
	const chosen = id === '' ? [...instances] : [...instances].filter(([name]) => name === id);
	for (const [, instance] of method === 'PUT' ? chosen : []) {
		switch (verb) {
			case 'mode': {
				instance.setMode(JSON.parse(text) as Parameters<UpstreamStandIn['setMode']>[0]);

				break;
			}

			case 'silence': {
				instance.silenceOpenConnections();

				break;
			}

			case 'crash': {
				await instance.crash();

				break;
			}
		// No default
		}
	}

	return chosen.map(([name, instance]) => ({
		id: name,
		...instance.counts,
		runsByKey: verb === 'truth' ? Object.fromEntries(instance.runsByKey) : undefined,
		runsByBody: verb === 'truth' ? Object.fromEntries(instance.runsByBody) : undefined,
	}));
}

const plan = JSON.parse(process.argv[2] ?? '{}') as Plan;
switch (plan.kind) {
	case 'store': {
		const {host, port} = split(plan.address);
		await new StoreStandIn().listen(host, port);
		break;
	}

	case 'host-list': {
		const {host, port} = split(plan.address);
		await new HostListStandIn(plan.lagMs).listen(host, port);
		break;
	}

	case 'upstreams': {
		await runUpstreams(plan);
		break;
	}
}

process.stdout.write('ready\n');

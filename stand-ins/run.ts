import {createServer} from 'node:http';
import process from 'node:process';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {collectBody} from './collect-body.js';
import {HostListStandIn} from './host-list-stand-in.js';
import {ConsulStoreStandIn} from './consul-store-stand-in.js';
import {UpstreamStandIn} from './upstream-stand-in.js';

type InstanceOptions = {readonly id: string; readonly address: string; readonly slots: number; readonly meanMs: number};

type Plan =
	| {readonly kind: 'store'; readonly address: string}
	| {readonly kind: 'host-list'; readonly address: string; readonly lagMs: number}
	| {readonly kind: 'upstreams'; readonly control: string; readonly seed: number; readonly instances: readonly InstanceOptions[]};

const backlogRequests = 4;
const coldRequests = 20;
const restartMs = 1000;

function splitAddress(address: string): {host: string; port: number} {
	const [host = '127.0.0.1', port = '0'] = address.split(':');
	return {host, port: Number(port)};
}

/** Starts the instances of a plan and an HTTP server on its control address, which changes their behaviour and returns the counts of their runs. */
async function runUpstreams(plan: Plan & {kind: 'upstreams'}): Promise<void> {
	const instances = new Map<string, UpstreamStandIn>();
	for (const [index, item] of plan.instances.entries()) {
		const random = new SeededRandom(plan.seed + index);
		const instance = new UpstreamStandIn({
			id: item.id, slots: item.slots, backlog: backlogRequests, meanMs: item.meanMs, random: () => random.next(), coldRequests, restartMs,
		});
		const {host, port} = splitAddress(item.address);
		await instance.listen(host, port);
		instances.set(item.id, instance);
	}

	const control = createServer((req, res) => {
		void handleControl(instances, req.url ?? '/', req.method ?? 'GET', collectBody(req)).then(result => res.end(JSON.stringify(result)));
	});
	const {host, port} = splitAddress(plan.control);
	control.listen(port, host);
}

async function handleControl(instances: ReadonlyMap<string, UpstreamStandIn>, url: string, method: string, body: Promise<string>): Promise<unknown> {
	const [, command = '', id = ''] = url.split('/');
	const text = await body;
	const selected = id === '' ? [...instances] : [...instances].filter(([name]) => name === id);
	for (const [, instance] of method === 'PUT' ? selected : []) {
		switch (command) {
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

	return selected.map(([name, instance]) => ({
		id: name,
		...instance.counts,
		runsByKey: command === 'truth' ? Object.fromEntries(instance.runsByKey) : undefined,
		runsByBody: command === 'truth' ? Object.fromEntries(instance.runsByBody) : undefined,
	}));
}

const plan = JSON.parse(process.argv[2] ?? '{}') as Plan;
switch (plan.kind) {
	case 'store': {
		const {host, port} = splitAddress(plan.address);
		await new ConsulStoreStandIn().listen(host, port);
		break;
	}

	case 'host-list': {
		const {host, port} = splitAddress(plan.address);
		await new HostListStandIn(plan.lagMs).listen(host, port);
		break;
	}

	case 'upstreams': {
		await runUpstreams(plan);
		break;
	}
}

process.stdout.write('ready\n');

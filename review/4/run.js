// The two machines of a region that watch the store are partitioned from it while an instance begins to drain.
import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {Deployment} from '../lib/deployment.js';
import {Link} from '../lib/link.js';
import {route} from '../lib/route.js';
import {runCase} from '../lib/run-case.js';

const hostsPerZone = 3;
const zones = ['dsm-a', 'dsm-b'];
const cutMs = 4000;
const drainMs = 2500;
const requestIntervalMs = 25;
const runMs = 30;
const deadlineMs = 2500;
const watchMemoryMs = 4000;

await runCase(import.meta.url, async ({record, isTroubled, addCleanup}) => {
	const deployment = new Deployment(zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, index) => ({id: `edge-${zone}-${index + 1}`, zone}))));
	addCleanup(async () => deployment.close());
	await deployment.start();
	const runs = [];
	for (const zone of zones) {
		await deployment.addInstance({
			id: `i-rostrum-${zone}`, service: 'rostrum', zone, async onRequest(req, res, instance) {
				const id = req.headers['x-request-id'];
				req.resume();
				runs.push({id, instance: instance.id, ms: performance.now()});
				record(`${instance.id} runs ${id}`);
				await delay(runMs);
				const body = `answer to ${id}`;
				res.writeHead(200, {'X-Request-Id': id, 'X-Response-Signature': `s-${id}`, 'Content-Length': body.length}).end(body);
			},
		});
	}

	deployment.publish(1, [route({
		name: 'bid-place', prefix: '/bids/', service: 'rostrum', timeoutMs: deadlineMs, targetMs: 400, isRepeatable: false,
	})], ['rostrum']);
	const [storeHost] = deployment.storeAddress.split(':');
	const lastWatch = new Map();
	const links = new Map();
	const addresses = new Map();
	for (const {id} of deployment.hosts) {
		const link = new Link(deployment.storeAddress, text => {
			if (text.startsWith('GET /-/kv-watch')) {
				lastWatch.set(id, performance.now());
			}
		});
		links.set(id, link);
		addresses.set(id, await link.listen(storeHost));
		addCleanup(async () => link.close());
	}

	await deployment.startDaemons({storeOf: host => addresses.get(host.id)});
	await delay(8000);
	const watchers = [...lastWatch].filter(([, ms]) => performance.now() - ms < watchMemoryMs).map(([id]) => id);
	record(`machines that watch the store: ${watchers.join(', ')}`);
	if (isTroubled) {
		for (const id of watchers.slice(0, 2)) {
			record(`${id} is cut off from the store`);
			links.get(id).cut();
		}
	}

	await delay(200);
	const [draining] = deployment.instances;
	draining.state = 'draining';
	deployment.writeInstance(draining);
	const drainingMs = performance.now();
	record(`the store acknowledges that ${draining.id} is draining`);
	setTimeout(() => {
		record('the cut ends');
		for (const link of links.values()) {
			link.heal();
		}
	}, cutMs - 200);
	const calm = deployment.hosts.filter(({id}) => !watchers.includes(id));
	const senderById = new Map();
	for (let sent = 0; performance.now() < drainingMs + cutMs + 2000; sent++) {
		const host = calm[sent % calm.length];
		const id = `r${sent}`;
		senderById.set(id, host.id);
		const req = request({
			host: host.ip, port: 8381, path: `/bids/${id}`, method: 'POST', agent: false, headers: {
				Host: 'shop.example', 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, 'Content-Length': 3,
			},
		}, res => {
			res.resume();
			record(`client gets ${res.statusCode} for ${id} from ${host.id}`);
		});
		req.on('error', err => {
			record(`client gets no answer for ${id}: ${err.message}`);
		});
		req.end('bid');
		await delay(requestIntervalMs);
	}

	await delay(500);
	return runs
		.filter(run => run.instance === draining.id && run.ms > drainingMs + drainMs)
		.map(run => `${run.id} reached ${run.instance} through ${senderById.get(run.id)} ${Math.round(run.ms - drainingMs)} ms after its draining was acknowledged`);
});

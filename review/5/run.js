// All daemons of a region are killed at the same moment and start again while an instance is cold.
import {get} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {Deployment} from '../lib/deployment.js';
import {route} from '../lib/route.js';
import {runCase} from '../lib/run-case.js';

const hostsPerZone = 6;
const perSecondPerHost = 30;
const runMs = 20;
const deadlineMs = 2000;
const coldMs = 8000;
const downMs = 1000;
/** Time for which the news that the instance is cold is on its way; requests in it are not judged. */
const newsMs = 1000;
/** The bound: cold_per_s 5 x cold_multiplier 1.5 + cold_tolerance 5. */
const maxPerSecond = 12.5;
const zones = ['dsm-a', 'dsm-b'];

await runCase(import.meta.url, async ({record, isTroubled, addCleanup}) => {
	const deployment = new Deployment(zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, index) => ({id: `edge-${zone}-${index + 1}`, zone}))));
	addCleanup(async () => deployment.close());
	await deployment.start();
	const arrivals = [];
	let coldSinceMs = Number.POSITIVE_INFINITY;
	const onRequest = async (req, res, instance) => {
		const id = req.headers['x-request-id'];
		if (performance.now() > coldSinceMs + newsMs && performance.now() < instance.coldUntilMs) {
			arrivals.push(performance.now());
			record(`${instance.id}, cold, runs ${id}`);
		}

		await delay(runMs);
		const body = `answer to ${id}`;
		res.writeHead(200, {'X-Request-Id': id, 'X-Response-Signature': `s-${id}`, 'Content-Length': body.length}).end(body);
	};

	const [instance] = await Promise.all(zones.map(async zone => deployment.addInstance({
		id: `i-catalogue-${zone}`, service: 'catalogue', zone, onRequest,
	})));
	deployment.publish(1, [route({
		name: 'lot-view', prefix: '/lots/', service: 'catalogue', timeoutMs: deadlineMs, targetMs: 400,
	})], ['catalogue']);
	await deployment.startDaemons();
	await delay(5000);
	let sent = 0;
	const statuses = new Map();
	const senders = deployment.hosts.map(host => setInterval(() => {
		sent++;
		const id = `r${sent}`;
		const req = get({
			host: host.ip, port: 8381, path: `/lots/${id}`, agent: false, timeout: deadlineMs, headers: {Host: 'shop.example', 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs},
		}, res => {
			res.resume();
			statuses.set(res.statusCode, (statuses.get(res.statusCode) ?? 0) + 1);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			statuses.set('none', (statuses.get('none') ?? 0) + 1);
		});
	}, 1000 / perSecondPerHost));
	await delay(2000);
	record('the instance becomes cold');
	coldSinceMs = performance.now();
	instance.coldUntilMs = coldSinceMs + coldMs;
	deployment.writeInstance(instance);
	await delay(1500);
	if (isTroubled) {
		record('all daemons are killed');
		await Promise.all(deployment.hosts.map(async ({daemon}) => daemon.kill()));
		await delay(downMs);
		record('all daemons start again');
		for (const {daemon} of deployment.hosts) {
			daemon.start();
		}

		await Promise.all(deployment.hosts.map(async host => {
			await deployment.untilReady(host);
			record(`${host.id} is ready`);
		}));
	}

	await delay(4000);
	for (const sender of senders) {
		clearInterval(sender);
	}

	record(`clients got: ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(', ')}`);
	const violations = [];
	for (const [index, startMs] of arrivals.entries()) {
		const count = arrivals.slice(index).filter(ms => ms < startMs + 1000).length;
		if (count > maxPerSecond) {
			violations.push(`${instance.id} got ${count} requests in one second while cold`);
		}
	}

	record(`most in a second: ${Math.max(...arrivals.map((startMs, index) => arrivals.slice(index).filter(ms => ms < startMs + 1000).length))}`);
	return violations;
});

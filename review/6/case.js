#!/usr/bin/env node
import {Buffer} from 'node:buffer';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../lib-2/deployment.js';
import {Instance} from '../lib-2/instance.js';
import {NarrowLink} from '../lib-2/narrow-link.js';
import {send} from '../lib-2/send.js';

const hasTrouble = process.env.TROUBLE !== '0';
const zones = ['kutch-a', 'kutch-b', 'kutch-a', 'kutch-b'];
const linkMbps = Number(process.env.LINK_MBPS ?? 10);
/** Routes that the configuration grows by, one after the other. */
const growths = (process.env.GROWTHS ?? '1700,1400').split(',').map(Number);
const maxValueBytes = 1_048_576;
const recoveryMs = 15_000;
const downMs = 1200;
const settleMs = 5000;
const growthPauseMs = 4000;
const phaseMs = 8000;
const gapMs = 50;
const leastShare = 0.25;
const storePort = 8384;

const lines = [];
const startMs = performance.now();
function record(text) {
	lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} s  ${text}`);
}

const deployment = new Deployment(zones);
const links = deployment.hosts.map((_, index) => new NarrowLink({
	address: deployment.address(230 + index), port: storePort, target: deployment.address(250), targetPort: storePort, mbps: linkMbps,
}));
deployment.storeAddressOf = (_region, id) => deployment.address(230 + deployment.hosts.findIndex(host => host.id === id));
const instances = [0, 1, 2, 3].map(index => new Instance({
	id: `i-${index}`, address: deployment.address(100 + index), zone: zones[index], service: 'books', runMs: 20, downMs: 0, keepsId: true, store: deployment.store, documents: deployment.documents, isFatal: () => false,
}));
const {route, configuration, nonRepeatable} = deployment.documents;
const routes = [route('telemetry-read', '/reads/'), route('immobiliser-cmd', '/commands/', nonRepeatable)];
let version = 0;
let sent = 0;
let exitCode = 2;

function publish() {
	version++;
	const value = configuration(version, routes);
	const bytes = Buffer.byteLength(JSON.stringify(value));
	if (bytes > maxValueBytes) {
		throw new Error(`a configuration of ${bytes} bytes is over the limit of the store`);
	}

	deployment.store.write('op/config', value);
	record(`the store acknowledges version ${version}: ${routes.length} routes, ${bytes} bytes`);
}

/** Sends reads and commands to all machines in turn; returns the share that is served. */
async function servedShare(label) {
	const pending = [];
	const untilMs = performance.now() + phaseMs;
	while (performance.now() < untilMs) {
		const {ip} = deployment.hosts[sent % deployment.hosts.length];
		sent++;
		const isRead = sent % 3 !== 0;
		pending.push(send({
			ip, method: isRead ? 'GET' : 'POST', path: `${isRead ? '/reads/' : '/commands/'}${sent}`, id: `request-${sent}`, key: String(sent % 24), ...(!isRead && {body: `command ${sent}`}),
		}));
		await delay(gapMs);
	}

	const statuses = await Promise.all(pending).then(answers => answers.map(({status}) => status));
	const counts = {};
	for (const status of statuses) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	record(`${label}: ${statuses.length} requests, by status ${JSON.stringify(counts)}`);
	return (counts[200] ?? 0) / statuses.length;
}

try {
	await deployment.startStore();
	for (const link of links) {
		await link.listen();
	}

	publish();
	for (const instance of instances) {
		await instance.start();
		instance.register();
	}

	const areReady = await Promise.all(deployment.hosts.map(async ({id}) => deployment.start(id)));
	if (areReady.includes(false)) {
		throw new Error('a daemon did not start');
	}

	await delay(settleMs);
	for (const [round, count] of growths.entries()) {
		for (let index = 0; index < count; index++) {
			routes.push(route(`r-${round}-${index}abcdef`, `/grown-${round}/route-${index}/`));
		}

		publish();
		await delay(growthPauseMs);
	}

	const before = await servedShare('before the final fault');
	if (hasTrouble) {
		for (const {child} of deployment.daemons.values()) {
			child.kill('SIGKILL');
		}

		await Promise.all([...deployment.daemons.values()].map(async ({exited}) => exited));
		record('all daemons were killed');
		await delay(downMs);
		for (const {id} of deployment.hosts) {
			deployment.launch(id);
		}

		record('all daemons were started again; the store was never disturbed');
	}

	await delay(recoveryMs + 100);
	const after = await servedShare(`over ${recoveryMs} ms later`);
	for (const {id} of deployment.hosts) {
		const failures = deployment.logOf(id).split('\n').filter(line => line.includes('no response within 800 ms')).length;
		record(`${id}: ${failures} log lines on calls to the store without a response within 800 ms`);
	}

	record(`served: ${Math.round(before * 100)} of 100 before, ${Math.round(after * 100)} of 100 after; ${leastShare * 100} of 100 are due`);
	if (before >= leastShare) {
		exitCode = after < leastShare ? 1 : 0;
	}
} catch (err) {
	record(`the case could not run: ${err.stack}`);
} finally {
	await deployment.close();
	await Promise.all(instances.map(async instance => instance.close()));
	for (const link of links) {
		link.close();
	}

	record(`exit code ${exitCode}`);
	writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`);
}

process.exit(exitCode);

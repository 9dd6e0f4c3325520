#!/usr/bin/env node
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../lib-2/deployment.js';
import {Instance} from '../lib-2/instance.js';
import {send} from '../lib-2/send.js';

const hasTrouble = process.env.TROUBLE !== '0';
const zones = ['dsm-a', 'dsm-b', 'aru-a', 'aru-b', 'mwz-a', 'mwz-b'];
const contactMs = 4000;
/** Times of the route, as the platform writes them. */
const times = Object.fromEntries([['timeout_ms', 2000], ['target_latency_ms', 400]]);
const graceMs = 6000;
/** Pause after a restarted host is ready, before its round of the request that crashes instances. */
const settleMs = contactMs + 1000;
const fatalPath = '/bids/7f3a';
const fatalBody = 'bid 7f3a';
const maxRetries = 3;

const lines = [];
const startMs = performance.now();
function record(text) {
	lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} s  ${text}`);
}

const deployment = new Deployment(zones);
const instances = zones.flatMap((zone, index) => [0, 1].map(copy => new Instance({
	id: `i-${zone}-${copy}`,
	address: deployment.address(100 + (index * 2) + copy),
	zone,
	service: 'books',
	runMs: 100,
	downMs: 2000,
	keepsId: false,
	store: deployment.store,
	documents: deployment.documents,
	isFatal: req => req.url === fatalPath,
})));
let exitCode = 2;
const traffic = {isOn: true};
let sent = 0;
const ordinary = [];
const pending = [];

/** Sends bids of ordinary clients at all hosts that run. */
async function sendOrdinary(host) {
	while (traffic.isOn) {
		const daemon = deployment.daemons.get(host.id);
		if (daemon.isServing) {
			const id = `ordinary-${++sent}`;
			pending.push(send({
				ip: host.ip, method: 'POST', path: `/bids/${sent}`, id, key: String(sent % 24), body: `bid ${sent}`,
			}).then(answer => {
				ordinary.push({id, ...answer});
			}));
		}

		await delay(100);
	}
}

/** The request that crashes instances comes again, at one host after the other. */
async function sendFatal(round) {
	for (const {id, ip} of deployment.hosts) {
		const requestId = `fatal-${round}-${id}`;
		const {status} = await send({
			ip, method: 'POST', path: fatalPath, id: requestId, key: '7', body: fatalBody,
		});
		record(`the client sends ${requestId}: ${status}`);
		await delay(300);
	}

	await delay(1200);
}

try {
	await deployment.startStore();
	const {route, configuration, nonRepeatable} = deployment.documents;
	deployment.store.write('op/config', configuration(1, [route('bid-place', '/bids/', {...nonRepeatable, ...times})]));
	for (const instance of instances) {
		await instance.start();
		instance.register();
	}

	const areReady = await Promise.all(deployment.hosts.map(async ({id}) => deployment.start(id)));
	if (areReady.includes(false)) {
		throw new Error('a daemon did not start');
	}

	for (const daemon of deployment.daemons.values()) {
		daemon.isServing = true;
	}

	await delay(settleMs);
	const ordinaryClients = deployment.hosts.map(async host => sendOrdinary(host));
	// Three copies at the same time: after these the request has crashed three instances, and all hosts know it.
	await Promise.all(deployment.hosts.slice(0, 3).map(async ({id, ip}) => {
		const {status} = await send({
			ip, method: 'POST', path: fatalPath, id: `fatal-0-${id}`, key: '7', body: fatalBody,
		});
		record(`the client sends fatal-0-${id}: ${status}`);
	}));
	await delay(contactMs);
	await sendFatal(1);
	for (const [index, host] of deployment.hosts.entries()) {
		if (hasTrouble) {
			deployment.daemons.get(host.id).isServing = false;
			record(`SIGTERM to ${host.id}`);
			await deployment.stop(host.id, graceMs);
			record(`${host.id} has ended and is started again`);
			if (!await deployment.start(host.id)) {
				throw new Error(`${host.id} did not start again`);
			}

			deployment.daemons.get(host.id).isServing = true;
			record(`${host.id} is ready`);
		}

		await delay(settleMs);
		await sendFatal(index + 2);
	}

	traffic.isOn = false;
	await Promise.all(ordinaryClients);
	await Promise.all(pending);
	await delay(2500);
	const crashes = instances.flatMap(({arrivals}) => arrivals).filter(({end}) => end === 'crash').toSorted((a, b) => a.atMs - b.atMs);
	for (const {requestId, atMs, instance} of crashes) {
		lines.push(`${((atMs - startMs) / 1000).toFixed(3)} s  ${requestId} reaches ${instance} and crashes it`);
	}

	const third = crashes[2]?.atMs ?? Number.POSITIVE_INFINITY;
	const late = crashes.filter(({requestId, atMs}) => atMs > third + contactMs && isInTouch(requestId, atMs));
	const cut = instances.flatMap(({arrivals}) => arrivals).filter(({requestId, end}) => requestId.startsWith('ordinary') && end === 'broken off');
	record(`ordinary bids: ${ordinary.length} sent, ${ordinary.filter(({status}) => status === 200).length} answered with 200; ${cut.length} were cut off by a crash while they ran`);
	record(`the request reached instances ${crashes.length} times, ${late.length} of them later than ${contactMs} ms after the third crash, from hosts in touch; ${maxRetries} are allowed`);
	exitCode = crashes.length < 2 ? 2 : (late.length > maxRetries ? 1 : 0);
} catch (err) {
	record(`the case could not run: ${err.stack}`);
} finally {
	traffic.isOn = false;
	await deployment.close();
	await Promise.all(instances.map(async instance => instance.close()));
	lines.sort((a, b) => Number.parseFloat(a) - Number.parseFloat(b));
	record(`exit code ${exitCode}`);
	writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`);
}

/** A host is in touch if its process has run for the whole time before, without a signal. */
function isInTouch(requestId, atMs) {
	const host = deployment.hosts.find(({id}) => requestId.endsWith(id));
	return atMs - deployment.daemons.get(host.id).startedMs > contactMs;
}

process.exit(exitCode);

#!/usr/bin/env node
import {Buffer} from 'node:buffer';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../lib-2/deployment.js';
import {Instance} from '../lib-2/instance.js';
import {send} from '../lib-2/send.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** Size of every upload. */
const bodyBytes = Number(process.env.BODY_BYTES ?? 100_000);
const zones = ['dsm-a', 'dsm-b', 'aru-a', 'aru-b'];
const contactMs = 4000;
/** Times of the route, as the platform writes them. */
const times = Object.fromEntries([['timeout_ms', 2000], ['target_latency_ms', 400]]);
const path = '/files/';
const mark = 'this file crashes its reader';
const rounds = 20;
const roundMs = 3000;
const ordinaryMs = 100;
const maxRetries = 3;

const lines = [];
const startMs = performance.now();
function record(text, atMs = performance.now()) {
	lines.push({atMs, text: `${((atMs - startMs) / 1000).toFixed(3)} s  ${text}`});
}

const deployment = new Deployment(zones);
const instances = zones.flatMap((zone, index) => [0, 1, 2].map(copy => new Instance({
	id: `i-${zone}-${copy}`,
	address: deployment.address(100 + (index * 3) + copy),
	zone,
	service: 'books',
	runMs: 100,
	downMs: 2000,
	keepsId: false,
	store: deployment.store,
	documents: deployment.documents,
	isFatal: (req, body) => body.includes(mark),
})));
const ordinary = [];
const pending = [];
let exitCode = 2;
const traffic = {isOn: true};

/** Uploads files of ordinary clients at one host after the other. */
async function sendOrdinary() {
	for (let count = 0; traffic.isOn; count++) {
		const {ip} = deployment.hosts[count % deployment.hosts.length];
		const id = `ordinary-${count}`;
		pending.push(send({
			ip, method: 'POST', path, id, key: String(count % 24), body: Buffer.alloc(bodyBytes, `file ${count} `),
		}).then(answer => {
			ordinary.push({id, ...answer});
		}));
		await delay(ordinaryMs);
	}
}

try {
	await deployment.startStore();
	const {route, configuration, nonRepeatable} = deployment.documents;
	deployment.store.write('op/config', configuration(1, [route('price-upload', path, {...nonRepeatable, ...times})]));
	for (const instance of instances) {
		await instance.start();
		instance.register();
	}

	const areReady = await Promise.all(deployment.hosts.map(async ({id}) => deployment.start(id)));
	if (areReady.includes(false)) {
		throw new Error('a daemon did not start');
	}

	await delay(contactMs + 1000);
	const sending = [1].map(async () => sendOrdinary());
	await delay(2000);
	const body = Buffer.alloc(bodyBytes, 'x');
	body.write(mark);
	for (let round = 0; round < rounds; round++) {
		const {id, ip} = deployment.hosts[round % deployment.hosts.length];
		if (hasTrouble) {
			const {status} = await send({
				ip, method: 'POST', path, id: `fatal-${round}`, key: '7', body,
			});
			record(`the client sends fatal-${round} to ${id}: ${status}`);
		}

		await delay(roundMs);
	}

	traffic.isOn = false;
	await Promise.all(sending);
	await Promise.all(pending);
	await delay(2500);
	const arrivals = instances.flatMap(instance => instance.arrivals);
	const crashes = arrivals.filter(({end}) => end === 'crash').toSorted((a, b) => a.atMs - b.atMs);
	for (const {requestId, atMs, instance} of crashes) {
		record(`${requestId} reaches ${instance} and crashes it`, atMs);
	}

	const late = crashes.filter(({atMs}) => atMs > (crashes[2]?.atMs ?? Number.POSITIVE_INFINITY) + contactMs);
	const isRefused = status => status === 503 || status === 429;
	const cut = arrivals.filter(({requestId, end}) => requestId.startsWith('ordinary') && end === 'broken off');
	const countOf = isCounted => ordinary.filter(({status}) => isCounted(status)).length;
	record(`ordinary uploads: ${ordinary.length} sent, ${countOf(status => status === 200)} answered with 200, ${countOf(isRefused)} refused`);
	record(`ordinary uploads that were cut off by a crash while they ran: ${cut.length}`);
	record(`the request reached instances ${crashes.length} times, ${late.length} of them later than ${contactMs} ms after the third crash; ${maxRetries} are allowed`);
	if (ordinary.some(({status}) => status === 200)) {
		exitCode = late.length > maxRetries ? 1 : 0;
	}
} catch (err) {
	record(`the case could not run: ${err.stack}`);
} finally {
	traffic.isOn = false;
	await deployment.close();
	await Promise.all(instances.map(async instance => instance.close()));
	record(`exit code ${exitCode}`);
	writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.toSorted((a, b) => a.atMs - b.atMs).map(({text}) => text).join('\n')}\n`);
}

process.exit(exitCode);

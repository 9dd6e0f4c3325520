#!/usr/bin/env node
import {writeFileSync} from 'node:fs';
import {request} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../lib-2/deployment.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** Machines of the region `dsm` of the site; the first one survives. */
const zones = ['dsm-a', 'dsm-a', 'dsm-a', 'dsm-a', 'dsm-b', 'dsm-b', 'dsm-b', 'dsm-b'];
const contactMs = 4000;
/** Time after which the directory may not name a machine that is gone. */
const namedMs = contactMs + 3000;
const settleMs = 8000;
const watchedMs = 16_000;
const askMs = 200;
const allowedAnswers = 3;

const lines = [];
const startMs = performance.now();
function record(text) {
	lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} s  ${text}`);
}

const deployment = new Deployment(zones);
let exitCode = 2;

/** Asks a directory as a client in a zone does; `undefined` without an answer within a second. */
async function resolveAt(ip, zone) {
	return new Promise(resolve => {
		const req = request({
			host: ip, port: 8383, path: `/-/resolve?name=shop.example&region=dsm&zone=${zone}`, agent: false, timeout: 1000,
		}, res => {
			let text = '';
			res.on('data', part => {
				text += part;
			}).on('end', () => {
				resolve(JSON.parse(text).addresses);
			});
		});
		req.on('error', () => {
			resolve(undefined);
		}).on('timeout', () => {
			req.destroy();
		});
		req.end();
	});
}

try {
	await deployment.startStore();
	const {route, configuration} = deployment.documents;
	deployment.store.write('op/config', configuration(1, [route('lot-view', '/lots/')]));
	const areReady = await Promise.all(deployment.hosts.map(async ({id}) => deployment.start(id)));
	if (areReady.includes(false)) {
		throw new Error('a daemon did not start');
	}

	await delay(settleMs);
	const [survivor, ...others] = deployment.hosts;
	for (const zone of new Set(zones)) {
		const addresses = await resolveAt(survivor.ip, zone);
		record(`before: the directory of ${survivor.id} names ${addresses.length} machines to clients in ${zone}`);
	}

	const lostMs = performance.now();
	const lostFronts = new Set();
	if (hasTrouble) {
		for (const {id, ip} of others) {
			deployment.daemons.get(id).child.kill('SIGKILL');
			lostFronts.add(`${ip}:8381`);
		}

		record(`${others.length} of ${zones.length} machines of the region are lost at once, for good`);
	}

	let answers = 0;
	let stale = 0;
	let lastStaleMs = 0;
	const latest = new Map();
	while (performance.now() - lostMs < watchedMs) {
		for (const zone of new Set(zones)) {
			const addresses = await resolveAt(survivor.ip, zone);
			const ageMs = performance.now() - lostMs;
			const dead = addresses?.filter(address => lostFronts.has(address)).length ?? 0;
			const hasRunning = addresses?.some(address => !lostFronts.has(address)) === true;
			const text = `${addresses?.length ?? 'no'} addresses, ${dead} of them lost`;
			if (text !== latest.get(zone)) {
				record(`${(ageMs / 1000).toFixed(1)} s after the loss, to clients in ${zone}: ${text}`);
				latest.set(zone, text);
			}

			if (ageMs > namedMs) {
				answers += addresses === undefined ? 0 : 1;
				stale += dead > 0 && hasRunning ? 1 : 0;
				lastStaleMs = dead > 0 ? ageMs : lastStaleMs;
			}
		}

		await delay(askMs);
	}

	record(`${stale} of ${answers} answers later than ${namedMs} ms after the loss name a lost machine beside a running one, the last ${Math.round(lastStaleMs)} ms after it; ${allowedAnswers} are allowed`);
	if (answers > 0) {
		exitCode = stale > allowedAnswers ? 1 : 0;
	}
} catch (err) {
	record(`the case could not run: ${err.stack}`);
} finally {
	await deployment.close();
	record(`exit code ${exitCode}`);
	writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`);
}

process.exit(exitCode);

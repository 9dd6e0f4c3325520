import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {KvStoreStandIn} from '../../dist/stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../../dist/stand-ins/platform-documents.js';
import {platformSettingsFields} from '../../dist/stand-ins/platform-settings-fields.js';
import {renderTemplate} from '../../dist/stand-ins/render-template.js';

const root = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..');
const storePort = 8384;
const readyPollMs = 20;
const readyTimeoutMs = 15_000;

/** Returns the program and its arguments, as the deploy file states them. */
function deployedCommand() {
	const [, text] = /^run = "(.*)"$/m.exec(readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8'));
	const [program, ...args] = text.split(' ');
	return {program: program === 'node' ? process.execPath : program, args};
}

async function statusOf(ip, port, target) {
	return new Promise(resolve => {
		const req = request({
			host: ip, port, path: target, agent: false, timeout: 1000,
		}, res => {
			res.resume();
			resolve(res.statusCode);
		});
		req.on('error', () => {
			resolve(0);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.end();
	});
}

/** Small deployment on loopback addresses: the store in this process, each daemon in a process of its own. */
export class Deployment {
	store = new KvStoreStandIn();
	documents = platformDocuments;
	hosts;
	daemons = new Map();
	#network;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
	/** Address of the store as a host knows it, by region and id: the store's own, or that of a link to it. */
	storeAddressOf = () => this.address(250);

	/** `zones` has one entry for each host: the name of its zone, whose region is the part before the dash. */
	constructor(zones) {
		// A network of its own keeps runs beside each other apart.
		this.#network = `127.${100 + (process.pid % 100)}.${Math.floor(Math.random() * 200) + 20}`;
		this.hosts = zones.map((zone, index) => ({
			id: `edge-${zone}-${index + 1}`, region: zone.split('-')[0], zone, ip: this.address(index + 1),
		}));
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				process.exit(2);
			});
		}

		process.once('exit', () => {
			for (const {child} of this.daemons.values()) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}
		});
	}

	/** Returns an address of the deployment's network; those from 100 on are for instances. */
	address(number) {
		return `${this.#network}.${number}`;
	}

	async startStore() {
		await this.store.listen(this.address(250), storePort);
	}

	/** Starts the daemon of a host without waiting for it. */
	launch(id) {
		const host = this.hosts.find(item => item.id === id);
		const file = path.join(this.#folder, `${id}.toml`);
		const template = readFileSync(path.join(root, 'deploy', 'daemon.toml'), 'utf8');
		writeFileSync(file, renderTemplate(template, platformSettingsFields({
			...host,
			zones: Object.fromEntries(this.hosts.map(item => [item.zone, item.region])),
			seeds: this.hosts.slice(0, 3).map(({ip}) => ip),
			storeAddress: `${this.storeAddressOf(host.region, id)}:${storePort}`,
		})));
		const {program, args} = deployedCommand();
		const log = openSync(path.join(this.#folder, `${id}.log`), 'a');
		const child = spawn(program, args, {
			cwd: root, stdio: ['ignore', log, log], env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', COWSLIPSPAR_BOOT: file,
			},
		});
		closeSync(log);
		const daemon = {
			child, host, startedMs: performance.now(), ended: undefined,
		};
		daemon.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				daemon.ended = {code, signal};
				resolve(daemon.ended);
			});
		});
		this.daemons.set(id, daemon);
		return daemon;
	}

	/** Waits until a host is ready; returns false if its process ends before or if it takes too long. */
	async untilReady(id) {
		const daemon = this.daemons.get(id);
		const endMs = performance.now() + readyTimeoutMs;
		while (daemon.ended === undefined && performance.now() < endMs) {
			if (await statusOf(daemon.host.ip, 8388, '/-/readyz') === 200) {
				return true;
			}

			await delay(readyPollMs);
		}

		return false;
	}

	async start(id) {
		this.launch(id);
		return this.untilReady(id);
	}

	/** Stops a host as planned, as the platform does, and waits for its end. */
	async stop(id, graceMs) {
		const daemon = this.daemons.get(id);
		daemon.child.kill('SIGTERM');
		const isEnded = await Promise.race([daemon.exited.then(() => true), delay(graceMs).then(() => false)]);
		if (!isEnded) {
			daemon.child.kill('SIGKILL');
			await daemon.exited;
		}
	}

	logOf(id) {
		return readFileSync(path.join(this.#folder, `${id}.log`), 'utf8');
	}

	async close() {
		for (const {child, ended} of this.daemons.values()) {
			if (ended === undefined) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}
		}

		await Promise.all([...this.daemons.values()].map(async daemon => daemon.exited));
		await this.store.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

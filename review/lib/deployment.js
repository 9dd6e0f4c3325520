import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {KvStoreStandIn} from '../../dist/stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../../dist/stand-ins/platform-documents.js';
import {renderTemplate} from '../../dist/stand-ins/render-template.js';
import {DaemonProcess} from './daemon-process.js';
import {Instance} from './instance.js';

const template = fileURLToPath(new URL('../../deploy/daemon.toml', import.meta.url));
/** Bounds of the site `mvule-gslb`, and the ports for daemons. */
const platformFields = JSON.parse(readFileSync(new URL('platform-fields.json', import.meta.url), 'utf8'));
const coldField = 'cold_remaining_ms';
const ports = {
	front: 8381, control: 8382, directory: 8383, ready: 8388,
};
const heartbeatMs = 1500;
const readyTimeoutMs = 20_000;

/** Small deployment on loopback addresses: the store and the instances run in this process, each daemon in one of its own. */
export class Deployment {
	store = new KvStoreStandIn();
	hosts;
	instances = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'cowslipspar-review-'));
	#network;
	#storePort = 0;
	#beats;
	#sequence = 1;

	/** `hosts` are `{id, zone}`; a zone's region is the part before the dash. */
	constructor(hosts) {
		this.hosts = hosts.map(host => ({...host, region: regionOf(host.zone)}));
	}

	/** Starts the store, and chooses loopback addresses whose ports are free. */
	async start() {
		this.#network = await freeNetwork(this.hosts.length);
		for (const [index, host] of this.hosts.entries()) {
			host.ip = `127.${this.#network}.${index + 1}.1`;
			host.clients = `${host.ip}:${ports.front}`;
		}

		this.#storePort = await this.store.listen(`127.${this.#network}.0.1`, 0);
		this.#beats = setInterval(() => {
			this.#sequence++;
			for (const instance of this.instances.filter(item => item.isBeating)) {
				this.writeInstance(instance);
			}
		}, heartbeatMs);
	}

	/** Address of the store. */
	get storeAddress() {
		return `127.${this.#network}.0.1:${this.#storePort}`;
	}

	/** Starts an instance; it writes its entry, and again with each heartbeat. `proxyAddress` is stated in place of its own address. */
	async addInstance({id, service, zone, onRequest, openProxy}) {
		const instance = new Instance({
			id, service, zone, onRequest, host: `127.${this.#network}.${100 + this.instances.length}.1`,
		});
		await instance.listen();
		instance.statedAddress = openProxy === undefined ? instance.address : await openProxy(instance.address, instance.host);
		instance.born = Date.now();
		instance.isBeating = true;
		instance.state = 'ready';
		instance.coldUntilMs = 0;
		this.instances.push(instance);
		this.writeInstance(instance);
		return instance;
	}

	/** Writes the store entry of an instance. */
	writeInstance(instance) {
		const entry = platformDocuments.instance(instance.statedAddress, {
			zone: instance.zone, service: instance.service, state: instance.state, sequence: this.#sequence, born: instance.born,
		});
		entry.status[coldField] = Math.max(0, Math.round(instance.coldUntilMs - performance.now()));
		this.store.write(`servers/${instance.id}`, entry);
	}

	/** Writes a configuration, as the operator does. */
	publish(version, routes, services) {
		this.store.write('op/config', platformDocuments.configuration(version, routes, services));
	}

	/** Starts the daemons and waits until all say that they are ready. `storeOf` may give a host another address of the store. */
	async startDaemons({storeOf = () => this.storeAddress} = {}) {
		const zones = Object.fromEntries(this.hosts.map(({zone, region}) => [zone, region]));
		for (const host of this.hosts) {
			const settingsFile = path.join(this.#folder, `${host.id}.toml`);
			writeFileSync(settingsFile, renderTemplate(readFileSync(template, 'utf8'), {
				...platformFields,
				node: host.id,
				region: host.region,
				zone: host.zone,
				ip: host.ip,
				zones,
				listen: Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, `${host.ip}:${port}`])),
				seeds: this.hosts.slice(0, 3).map(({ip}) => `${ip}:${ports.control}`),
				platform: {address: storeOf(host)},
			}));
			host.daemon = new DaemonProcess(settingsFile, path.join(process.env.REVIEW_LOGS ?? this.#folder, `${host.id}.log`));
			host.daemon.start();
		}

		await Promise.all(this.hosts.map(async host => this.untilReady(host)));
	}

	/** Waits until a daemon says that it is ready. */
	async untilReady(host) {
		const endMs = performance.now() + readyTimeoutMs;
		while (await statusOf(host.ip) !== 200) {
			if (performance.now() > endMs) {
				throw new Error(`${host.id} was not ready within ${readyTimeoutMs} ms`);
			}

			await delay(20);
		}
	}

	/** Ends all processes and stand-ins, and removes the temporary folder. */
	async close() {
		clearInterval(this.#beats);
		await Promise.all(this.hosts.map(async host => host.daemon?.kill()));
		await Promise.all(this.instances.map(async instance => instance.close()));
		await this.store.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

function regionOf(zone) {
	return zone.slice(0, zone.lastIndexOf('-'));
}

async function statusOf(ip) {
	return new Promise(resolve => {
		const req = get({
			host: ip, port: ports.ready, path: '/-/readyz', agent: false, timeout: 1000,
		}, res => {
			res.resume();
			resolve(res.statusCode);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve(undefined);
		});
	});
}

/** Returns the second byte of loopback addresses 127.x.y.1 on which the daemons' ports are free. */
async function freeNetwork(count) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const network = 64 + ((process.pid + (attempt * 7)) % 160);
		const isFree = await Promise.all(Array.from({length: count}, (_, index) => index + 1).flatMap(index =>
			[...Object.values(ports), 7200, 7215].map(async port => canListen(`127.${network}.${index}.1`, port))));
		if (isFree.every(Boolean)) {
			return network;
		}
	}

	throw new Error('found no loopback addresses with free ports');
}

async function canListen(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

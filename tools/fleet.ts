import {
	mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {collectPublication} from '../src/config/collect-publication.js';
import {type Publication} from '../src/config/publication.js';
import {type HostStatus} from '../src/contracts/host-status.js';
import {Child} from './child.js';
import {until} from './until.js';

type FleetOptions = {
	readonly deployment: 'mvule' | 'barid';
	/** Number of daemons in each availability zone. */
	readonly hostsPerZone: number;
	/** Mean service time of the upstream stand-ins. */
	readonly meanMs: number;
	readonly seed: number;
	/** Folder for the daemons' logs; without one they are discarded. */
	readonly logFolder?: string;
	/** TOML appended to each daemon's settings. */
	readonly extraSettings?: string;
	/** Address range of this fleet, from 0 to 99; fleets that run at the same time need different ones. */
	readonly fleetIndex?: number;
};

type HostPlan = {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	readonly callers: string;
	readonly peers: string;
	readonly operators: string;
};

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Stand-ins and daemons of one deployment on loopback addresses. The store, the host list, the upstreams of each zone and each daemon run in separate processes. */
export class Fleet {
	readonly hosts: HostPlan[] = [];
	readonly storeAddress: string;
	readonly hostListAddress: string;
	readonly publication: Publication;
	readonly examplesFolder: string;
	readonly #options: FleetOptions;
	readonly #folder = mkdtempSync(join(tmpdir(), 'cowslipspar-'));
	readonly #standIns = new Map<string, Child>();
	readonly #daemons = new Map<string, Child>();
	readonly #controlAddresses = new Map<string, string>();
	readonly #leaving = new Set<string>();

	constructor(options: FleetOptions) {
		this.#options = options;
		this.examplesFolder = join(root, 'examples', options.deployment);
		this.publication = readPublication(this.examplesFolder);
		const base = `127.${40 + (options.fleetIndex ?? 0)}`;
		this.storeAddress = `${base}.0.1:7100`;
		this.hostListAddress = `${base}.0.2:7100`;
		for (const [regionIndex, region] of this.publication.deployment.regions.entries()) {
			for (const [zoneIndex, zone] of region.zones.entries()) {
				for (let index = 1; index <= options.hostsPerZone; index++) {
					const address = `${base}.${(regionIndex * 20) + zoneIndex + 1}.${index}`;
					this.hosts.push({
						id: `${zone}-${index}`, region: region.name, zone, callers: `${address}:7200`, peers: `${address}:7201`, operators: `${address}:7202`,
					});
				}
			}
		}
	}

	/** Starts the store, the host list and the upstream instances. */
	async startStandIns(): Promise<void> {
		const script = join(root, 'dist', 'stand-ins', 'run.js');
		const start = async (name: string, plan: unknown) => {
			this.#standIns.set(name, await Child.start({script, args: [JSON.stringify(plan)], shouldAwaitReady: true}));
		};

		const zones = this.publication.deployment.regions.flatMap(region => region.zones);
		await Promise.all([
			start('store', {kind: 'store', address: this.storeAddress}),
			start('host-list', {kind: 'host-list', address: this.hostListAddress, lagMs: 500}),
			...zones.map(async (zone, index) => {
				const control = `127.${40 + (this.#options.fleetIndex ?? 0)}.0.${index + 10}:7100`;
				this.#controlAddresses.set(zone, control);
				await start(`upstreams ${zone}`, {
					kind: 'upstreams', control, seed: this.#options.seed + (index * 100), instances: this.#instancesOf(zone),
				});
			}),
		]);
		await this.#listHosts();
	}

	/** Starts all daemons and waits until each passes its liveness check. */
	async startDaemons(): Promise<void> {
		await Promise.all(this.hosts.map(async host => this.startDaemon(host.id)));
	}

	/** Starts one daemon and waits until it passes its liveness check. */
	async startDaemon(id: string): Promise<void> {
		const host = this.host(id);
		const file = join(this.#folder, `${id}.toml`);
		writeFileSync(file, this.#settings(host));
		const {logFolder} = this.#options;
		if (logFolder !== undefined) {
			mkdirSync(logFolder, {recursive: true});
		}

		const script = join(root, 'dist', 'src', 'bin', 'cowslipspard.js');
		this.#daemons.set(id, await Child.start({
			script, args: ['--config', file], shouldAwaitReady: false, ...(logFolder !== undefined && {logFile: join(logFolder, `${id}.log`)}),
		}));
		this.#leaving.delete(id);
		await until(`${id} passes its liveness check`, async () => {
			const health = await this.#get(host.operators, '/healthz');
			return health?.status === 200;
		});
	}

	host(id: string): HostPlan {
		const found = this.hosts.find(host => host.id === id);
		if (found === undefined) {
			throw new Error(`unknown host: ${id}`);
		}

		return found;
	}

	daemon(id: string): Child {
		const child = this.#daemons.get(id);
		if (child === undefined) {
			throw new Error(`the daemon ${id} was not started`);
		}

		return child;
	}

	/** Marks the host as leaving in the host list, requests a planned stop of its daemon and waits for the exit; returns the exit code. */
	async stopDaemon(id: string): Promise<number> {
		this.#leaving.add(id);
		await this.#listHosts();
		const child = this.daemon(id);
		child.signal('SIGTERM');
		return child.exited;
	}

	/** Returns the status of one host, or `undefined` if it does not respond with one. */
	async status(id: string): Promise<HostStatus | undefined> {
		const response = await this.#get(this.host(id).operators, '/v1/status');
		return response?.status === 200 ? (JSON.parse(response.text) as {hosts: HostStatus[]}).hosts[0] : undefined;
	}

	async metrics(id: string): Promise<string> {
		const response = await this.#get(this.host(id).operators, '/metrics');
		return response?.text ?? '';
	}

	/** Waits until every running daemon serves and counts all running hosts of its region as alive. */
	async untilReady(): Promise<void> {
		const hostCountByRegion = new Map<string, number>();
		const running = this.hosts.filter(host => this.#daemons.get(host.id)?.isRunning === true && !this.#leaving.has(host.id));
		for (const host of running) {
			hostCountByRegion.set(host.region, (hostCountByRegion.get(host.region) ?? 0) + 1);
		}

		await until('all hosts serve', async () => {
			const statuses = await Promise.all(running.map(async host => ({host, status: await this.status(host.id)})));
			return statuses.every(({host, status}) => status?.phase === 'serving' && status.aliveMembers === hostCountByRegion.get(host.region));
		});
	}

	/** Calls the control address of a stand-in and returns the JSON of its response. */
	async control(target: 'store' | 'host-list' | string, method: 'GET' | 'PUT', path: string, body?: unknown): Promise<unknown> {
		const address = target === 'store' ? this.storeAddress : (target === 'host-list' ? this.hostListAddress : this.#controlAddresses.get(target));
		const res = await request(`http://${address}${path}`, {method, ...(body !== undefined && {body: JSON.stringify(body)})});
		return res.body.json();
	}

	/** Makes a control call to all upstream stand-ins and returns the joined lists of their responses. */
	async controlUpstreams(path: string, method: 'GET' | 'PUT' = 'GET', body?: unknown): Promise<Array<Record<string, unknown>>> {
		const responses = await Promise.all([...this.#controlAddresses.keys()].map(async zone => this.control(zone, method, path, body)));
		return responses.flat() as Array<Record<string, unknown>>;
	}

	/** Kills every process of the fleet and removes its files. */
	async close(): Promise<void> {
		await Promise.all([...this.#daemons.values(), ...this.#standIns.values()].map(async child => child.kill()));
		rmSync(this.#folder, {recursive: true, force: true});
	}

	#instancesOf(zone: string): unknown[] {
		return Object.values(this.publication.services).flatMap(service => service.places
			.filter(place => place.zone === zone)
			.flatMap(place => place.instances.map(instance => ({...instance, slots: place.slots, meanMs: this.#options.meanMs}))));
	}

	async #listHosts(): Promise<void> {
		const entries = this.hosts.map(host => ({
			address: host.peers, role: 'entry', state: this.#leaving.has(host.id) ? 'leaving' : 'live', region: host.region, zone: host.zone,
		}));
		await this.control('host-list', 'PUT', '/stand-in/hosts', entries);
	}

	async #get(address: string, path: string): Promise<{status: number; text: string} | undefined> {
		try {
			const res = await request(`http://${address}${path}`, {headersTimeout: 2000, bodyTimeout: 2000});
			return {status: res.statusCode, text: await res.body.text()};
		} catch {
			return undefined;
		}
	}

	#settings(host: HostPlan): string {
		return `[host]
id = "${host.id}"
region = "${host.region}"
zone = "${host.zone}"

[listen]
callers = "${host.callers}"
peers = "${host.peers}"
operators = "${host.operators}"

[store]
address = "${this.storeAddress}"

[hostList]
address = "${this.hostListAddress}"
pollMs = 2000

${this.#options.extraSettings ?? '[stop]\nlookupTtlMs = 2000\ngraceMs = 20000\n'}`;
	}
}

function readPublication(folder: string): Publication {
	const files = readdirSync(folder).filter(name => name.endsWith('.toml')).map(name => ({name, text: readFileSync(join(folder, name), 'utf8')}));
	const collected = collectPublication(files);
	if (!collected.success) {
		throw new Error(`the example files in ${folder} are invalid`);
	}

	return collected.data;
}

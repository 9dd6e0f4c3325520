import {
	mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {OperatorClient} from '../src/cli/operator-client.js';
import {type HostStatus} from '../src/contracts/host-status.js';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {PlatformClientStandIn} from '../stand-ins/platform-client-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {platformNames} from '../stand-ins/platform-names.js';
import {platformSettingsFields} from '../stand-ins/platform-settings-fields.js';
import {renderTemplate} from '../stand-ins/render-template.js';
import {Child} from './child.js';
import {platformScenario} from './platform-scenario.js';
import {until} from './until.js';

type FleetOptions = {
	/** Root folder of the project. */
	readonly root: string;
	/** Folder for the daemons' logs; without one they are discarded. */
	readonly logFolder: string | undefined;
	/** First two numbers of the loopback addresses; measurements that run beside others use their own. */
	readonly network?: string;
	/** Availability zones, with one host each. */
	readonly zones?: readonly string[];
	readonly services?: readonly string[];
	/** Instances of each service in each zone. */
	readonly instancesPerZone?: number;
	/** Returns the daemon to start on a host in place of the one that is built, for instance one of an earlier version. */
	readonly daemonScriptOf?: (hostId: string) => string | undefined;
	/** Returns the options of Node.js for the daemon of a host. */
	readonly nodeOptionsOf?: (hostId: string) => readonly string[];
};

type Host = {readonly id: string; readonly region: string; readonly zone: string; readonly ip: string};
type Instance = {readonly id: string; readonly zone: string; readonly service: string; readonly address: string; readonly standIn: PlatformInstanceStandIn};
type Configuration = ReturnType<typeof platformDocuments.configuration>;

const regions = ['dsm', 'aru', 'mwz'];
const defaultZones = regions.flatMap(region => [`${region}-a`, `${region}-b`]);
const serviceMs = 20;
const instancePort = 8080;
const storeCallsPerSecond = 2000;
const defaultNetwork = '127.60';
const storePort = 8384;

/** Deployment of the platform on loopback addresses. The store and the instances run in this process, each daemon in a separate one. */
export class PlatformFleet {
	readonly store = new KvStoreStandIn(storeCallsPerSecond, 1);
	readonly hosts: readonly Host[];
	readonly instances: readonly Instance[];

	readonly #options: FleetOptions;
	readonly #storeHost: string;
	readonly #folder = mkdtempSync(join(tmpdir(), 'cowslipspar-'));
	readonly #daemons = new Map<string, Child>();
	/** Value of the field `born` of the latest instance: a counter in place of a time. */
	#lastBorn = 1;

	constructor(options: FleetOptions) {
		this.#options = options;
		const {network = defaultNetwork, zones = defaultZones, services = platformScenario.services, instancesPerZone = 1} = options;
		this.#storeHost = `${network}.0.1`;
		this.hosts = zones.map((zone, index) => ({
			id: `edge-${zone}-1`, region: regionOf(zone), zone, ip: `${network}.${index + 1}.1`,
		}));
		this.instances = zones.flatMap((zone, index) => Array.from({length: services.length * instancesPerZone}, (_, position) => {
			const service = services[position % services.length]!;
			const number = Math.floor(position / services.length);
			return {
				id: `i-${service}-${zone}${number === 0 ? '' : `-${number + 1}`}`,
				zone,
				service,
				address: `${network}.${index + 1}.${position + 10}:${instancePort}`,
				standIn: new PlatformInstanceStandIn(),
			};
		}));
	}

	/** Starts the store and the instances, and publishes an initial configuration. */
	async startStandIns(configuration: Configuration): Promise<void> {
		await this.store.listen(this.#storeHost, storePort);
		await Promise.all(this.instances.map(async ({
			id, zone, service, address, standIn,
		}) => {
			standIn.runMs = serviceMs;
			await standIn.listen(address.split(':')[0]!, instancePort);
			this.store.write(platformNames.instanceKey(id), platformDocuments.instance(address, {zone, service}));
		}));
		this.publish(configuration);
	}

	/** Writes a configuration to the store, as an operator does. */
	publish(configuration: Configuration): void {
		this.store.write(platformNames.configurationKey, configuration);
	}

	/** Builds the daemon, starts it on every host and waits until all accept requests. */
	async startDaemons(): Promise<void> {
		const {root, logFolder} = this.#options;
		const bundling = await Child.start({script: join(root, 'deploy', 'bundle.js'), args: [], shouldAwaitReady: false});
		if (await bundling.exited !== 0) {
			throw new Error('building the daemon failed: deploy/bundle.js exited with a code other than 0');
		}

		if (logFolder !== undefined) {
			mkdirSync(logFolder, {recursive: true});
		}

		await Promise.all(this.hosts.map(async ({id}) => this.startDaemon(id)));
	}

	/** Starts the daemon of one host and waits until it accepts requests. */
	async startDaemon(id: string): Promise<void> {
		const {root, logFolder, daemonScriptOf, nodeOptionsOf} = this.#options;
		const host = this.hosts.find(item => item.id === id)!;
		const file = join(this.#folder, `${id}.toml`);
		const template = readFileSync(join(root, 'deploy', 'daemon.toml'), 'utf8');
		const seeds = this.hosts.slice(0, 3).map(({ip}) => ip);
		writeFileSync(file, renderTemplate(template, platformSettingsFields({
			...host, zones: Object.fromEntries(this.hosts.map(item => [item.zone, item.region])), seeds, storeAddress: `${this.#storeHost}:${storePort}`,
		})));
		this.#daemons.set(id, await Child.start({
			script: daemonScriptOf?.(id) ?? join(root, 'target', 'cowslipspar.mjs'),
			args: [],
			nodeOptions: nodeOptionsOf?.(id) ?? [],
			env: {[platformNames.settingsVariable]: file},
			shouldAwaitReady: false,
			...(logFolder !== undefined && {logFile: join(logFolder, `${id}.log`)}),
		}));
		await until(`${id} accepts requests`, async () => await statusOf(platformNames.readinessUrl(host.ip)) === 200);
	}

	daemon(id: string): Child {
		return this.#daemons.get(id)!;
	}

	/** Returns a client in a zone that sends its lookups to the daemons of its own region first. */
	createClient(zone: string, host: string): PlatformClientStandIn {
		const region = regionOf(zone);
		const hostsByProximity = [...this.hosts.filter(item => item.region === region), ...this.hosts.filter(item => item.region !== region)];
		return new PlatformClientStandIn({
			region, zone, host, directories: hostsByProximity.slice(0, 3).map(({ip}) => platformNames.directoryAddress(ip)),
		});
	}

	/** Waits until every running daemon responds to requests for a path with a status. */
	async untilAllRespond(path: string, host: string, status: number): Promise<void> {
		const running = this.hosts.filter(({id}) => this.#daemons.get(id)?.isRunning === true);
		await Promise.all(running.map(async ({id, ip}) =>
			until(`${id} responds to ${path} with ${status}`, async () => await statusOf(`${platformNames.clientsUrl(ip)}${path}`, host) === status)));
	}

	/** Crashes an instance without notice; its store entry is removed after `leaseExpiryMs`, as by the expiry of a lease. */
	async crash({id, standIn}: Instance, leaseExpiryMs: number): Promise<void> {
		await standIn.close();
		await delay(leaseExpiryMs);
		this.store.remove(platformNames.instanceKey(id));
	}

	/** Starts a new instance with the address and id of a crashed one. */
	async restart({id, zone, service, address, standIn}: Instance): Promise<void> {
		this.#lastBorn++;
		await standIn.listen(address.split(':')[0]!, instancePort);
		this.store.write(platformNames.instanceKey(id), platformDocuments.instance(address, {zone, service, born: this.#lastBorn}));
	}

	/** Returns the status of one host, or `undefined` if it does not respond with one. */
	async status(id: string): Promise<HostStatus | undefined> {
		const {ip} = this.hosts.find(host => host.id === id)!;
		const result = await new OperatorClient(platformNames.operatorsAddress(ip)).status('host');
		return result.success ? result.data.hosts[0] : undefined;
	}

	/** Requests a planned stop of a daemon and returns its exit code. */
	async stopDaemon(id: string): Promise<number> {
		const child = this.daemon(id);
		child.signal('SIGTERM');
		return child.exited;
	}

	/** Kills every daemon, closes the stand-ins and removes the fleet's files. */
	async close(): Promise<void> {
		await Promise.all([...this.#daemons.values()].map(async child => child.kill()));
		await Promise.all([this.store.close(), ...this.instances.map(async ({standIn}) => standIn.close())]);
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

function regionOf(zone: string): string {
	return zone.slice(0, zone.lastIndexOf('-'));
}

async function statusOf(url: string, host?: string): Promise<number | undefined> {
	try {
		const res = await request(url, {headersTimeout: 1000, bodyTimeout: 1000, headers: host === undefined ? {} : {host, [platformNames.requestId]: `probe-${performance.now()}`}});
		await res.body.dump();
		return res.statusCode;
	} catch {
		// A daemon that has not started yet does not respond; the caller retries.
		return undefined;
	}
}

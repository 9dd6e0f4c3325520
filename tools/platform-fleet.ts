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
	/** Folder of the project. */
	readonly root: string;
	/** Keeps the daemons' logs in this folder. */
	readonly logFolder: string | undefined;
};

type Host = {readonly id: string; readonly region: string; readonly zone: string; readonly ip: string};
type Instance = {readonly id: string; readonly zone: string; readonly service: string; readonly address: string; readonly standIn: PlatformInstanceStandIn};
type Configuration = ReturnType<typeof platformDocuments.configuration>;

const regions = ['dsm', 'aru', 'mwz'];
const zones = regions.flatMap(region => [`${region}-a`, `${region}-b`]);
const regionByZone = Object.fromEntries(zones.map(zone => [zone, regionOf(zone)]));
const workMs = 20;
const instancePort = 8080;
const store = {host: '127.60.0.1', port: 8384};

/** A deployment of the platform on loopback addresses: store and instances in this process, each daemon a process of its own. */
export class PlatformFleet {
	readonly store = new KvStoreStandIn();
	readonly hosts: readonly Host[] = zones.map((zone, index) => ({
		id: `edge-${zone}-1`, region: regionOf(zone), zone, ip: `127.60.${index + 1}.1`,
	}));

	readonly instances: readonly Instance[] = zones.flatMap((zone, index) => platformScenario.services.map((service, place) => ({
		id: `i-${service}-${zone}`, zone, service, address: `127.60.${index + 1}.${place + 10}:${instancePort}`, standIn: new PlatformInstanceStandIn(),
	})));

	readonly #options: FleetOptions;
	readonly #folder = mkdtempSync(join(tmpdir(), 'cowslipspar-'));
	readonly #daemons = new Map<string, Child>();
	/** Moment of birth of the latest instance, as a count. */
	#born = 1;

	constructor(options: FleetOptions) {
		this.#options = options;
	}

	/** Starts the store and the instances, with a first configuration. */
	async startStandIns(configuration: Configuration): Promise<void> {
		await this.store.listen(store.host, store.port);
		await Promise.all(this.instances.map(async ({
			id, zone, service, address, standIn,
		}) => {
			standIn.workMs = workMs;
			await standIn.listen(address.split(':')[0]!, instancePort);
			this.store.write(platformNames.instanceKey(id), platformDocuments.instance(address, {zone, service}));
		}));
		this.publish(configuration);
	}

	/** Puts a configuration into the store, as the operator does. */
	publish(configuration: Configuration): void {
		this.store.write(platformNames.configurationKey, configuration);
	}

	/** Builds the daemon and starts it on every host; waits until all take requests. */
	async startDaemons(): Promise<void> {
		const {root, logFolder} = this.#options;
		const bundling = await Child.start({script: join(root, 'deploy', 'bundle.js'), args: [], waitsForReady: false});
		if (await bundling.exited !== 0) {
			throw new Error('the daemon could not be built');
		}

		if (logFolder !== undefined) {
			mkdirSync(logFolder, {recursive: true});
		}

		await Promise.all(this.hosts.map(async ({id}) => this.startDaemon(id)));
	}

	/** Starts the daemon of one host and waits until it takes requests. */
	async startDaemon(id: string): Promise<void> {
		const {root, logFolder} = this.#options;
		const host = this.hosts.find(item => item.id === id)!;
		const file = join(this.#folder, `${id}.toml`);
		const template = readFileSync(join(root, 'deploy', 'daemon.toml'), 'utf8');
		const seeds = this.hosts.slice(0, 3).map(({ip}) => ip);
		writeFileSync(file, renderTemplate(template, platformSettingsFields({
			...host, zones: regionByZone, seeds, storeAddress: `${store.host}:${store.port}`,
		})));
		this.#daemons.set(id, await Child.start({
			script: join(root, 'target', 'cowslipspar.mjs'),
			args: [],
			env: {[platformNames.settingsVariable]: file},
			waitsForReady: false,
			...(logFolder !== undefined && {logFile: join(logFolder, `${id}.log`)}),
		}));
		await until(`${id} takes requests`, async () => await statusOf(platformNames.readinessUrl(host.ip)) === 200);
	}

	daemon(id: string): Child {
		return this.#daemons.get(id)!;
	}

	/** A client in a zone, which asks the daemons of its region first. */
	client(zone: string, host: string): PlatformClientStandIn {
		const region = regionOf(zone);
		const nearFirst = [...this.hosts.filter(item => item.region === region), ...this.hosts.filter(item => item.region !== region)];
		return new PlatformClientStandIn({
			region, zone, host, directories: nearFirst.slice(0, 3).map(({ip}) => platformNames.directoryAddress(ip)),
		});
	}

	/** Waits until every running daemon answers a path with a status. */
	async untilAllAnswer(path: string, host: string, status: number): Promise<void> {
		const running = this.hosts.filter(({id}) => this.#daemons.get(id)?.isRunning === true);
		await Promise.all(running.map(async ({id, ip}) =>
			until(`${id} answers ${path} with ${status}`, async () => await statusOf(`${platformNames.clientsUrl(ip)}${path}`, host) === status)));
	}

	/** Ends an instance without a word; its entry lapses a second later, as a lease does. */
	async crash({id, standIn}: Instance, lapseMs: number): Promise<void> {
		await standIn.close();
		await delay(lapseMs);
		this.store.remove(platformNames.instanceKey(id));
	}

	/** Brings a new instance up at a lost one's address, under its id. */
	async revive({id, zone, service, address, standIn}: Instance): Promise<void> {
		this.#born++;
		await standIn.listen(address.split(':')[0]!, instancePort);
		this.store.write(platformNames.instanceKey(id), platformDocuments.instance(address, {zone, service, born: this.#born}));
	}

	/** State of one host; `undefined` when it does not answer. */
	async status(id: string): Promise<HostStatus | undefined> {
		const {ip} = this.hosts.find(host => host.id === id)!;
		const answer = await new OperatorClient(platformNames.operatorsAddress(ip)).status('host');
		return answer.success ? answer.data.hosts[0] : undefined;
	}

	/** Stops a daemon by plan; answers its exit code. */
	async stopDaemon(id: string): Promise<number> {
		const child = this.daemon(id);
		child.signal('SIGTERM');
		return child.exited;
	}

	/** Ends every process of the fleet and removes its files. */
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
		// A daemon that is not up yet does not answer; the caller asks again.
		return undefined;
	}
}

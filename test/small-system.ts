import {setTimeout as delay} from 'node:timers/promises';
import {ConsulStore} from '../src/adapters/consul-store.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {Caller} from '../src/caller.js';
import {DaemonSettings} from '../src/config/daemon-settings.js';
import {Publication} from '../src/config/publication.js';
import {createDaemon} from '../src/daemon.js';
import {type Kernel} from '../src/kernel/kernel.js';
import {Publisher} from '../src/publisher.js';
import {HostListStandIn} from '../stand-ins/host-list-stand-in.js';
import {ConsulStoreStandIn} from '../stand-ins/consul-store-stand-in.js';
import {UpstreamStandIn} from '../stand-ins/upstream-stand-in.js';
import {nextLoopbackAddress} from './next-loopback-address.js';

type Host = {readonly id: string; readonly settings: DaemonSettings; kernel: Kernel; isUp: boolean};
type PlacedUpstream = {readonly standIn: UpstreamStandIn; readonly address: string; readonly region: string};

type SystemOptions = {
	/** Number of hosts in each region, spread over its zones a and b. */
	readonly regions: Readonly<Record<string, number>>;
	/** Number of instances in each region. */
	readonly instances: number;
	readonly slots?: number;
	readonly meanMs?: number;
};

const waitMs = 15_000;

/** Runs stand-ins and daemons in one process, for tests of several services together. */
export class SmallSystem {
	readonly store = new ConsulStoreStandIn();
	readonly hostList = new HostListStandIn(0);
	readonly hosts: Host[] = [];
	readonly upstreams: PlacedUpstream[] = [];
	readonly #options: SystemOptions;
	readonly #callers: Caller[] = [];
	#storeAddress = '';

	constructor(options: SystemOptions) {
		this.#options = options;
	}

	/** Starts the stand-ins and daemons and publishes a service `bids` with the classes bid, read and archive. */
	async start(): Promise<void> {
		await this.startStandIns();
		for (const host of this.hosts) {
			await this.boot(host);
		}

		await this.publisher().publish(this.publication(), {manifest: undefined, version: 0});
		await this.untilReady();
	}

	async startStandIns(): Promise<void> {
		const storeHost = nextLoopbackAddress();
		this.#storeAddress = `${storeHost}:7000`;
		await this.store.listen(storeHost, 7000);
		const listHost = nextLoopbackAddress();
		await this.hostList.listen(listHost, 7000);
		for (const [region, count] of Object.entries(this.#options.regions)) {
			for (let index = 0; index < this.#options.instances; index++) {
				await this.#addUpstream(region, index);
			}

			for (let index = 0; index < count; index++) {
				this.#addHost(region, index, `${listHost}:7000`);
			}
		}

		this.hostList.setHosts(this.hosts.map(host => ({
			address: host.settings.listen.peers, role: 'entry', state: 'live', region: host.settings.host.region, zone: host.settings.host.zone,
		})));
	}

	/** Starts a new process of a host's daemon; `customise` may replace its services. */
	async boot(host: Host, customise: (kernel: Kernel) => void = () => undefined): Promise<void> {
		host.kernel = createDaemon({settings: host.settings, logLevel: 'error'});
		customise(host.kernel);
		const started = await host.kernel.start();
		if (!started.success) {
			throw new Error(started.error.message);
		}

		host.isUp = true;
	}

	/** Ends a host's daemon without a planned stop, as a crash does. */
	async crash(host: Host): Promise<void> {
		host.isUp = false;
		await host.kernel.stop();
	}

	publisher(author = 'test'): Publisher {
		return new Publisher(new ConsulStore({
			address: this.#storeAddress, prefix: 'cowslipspar/', timeoutMs: 500, clock: monotonicClock, onCall() {/* Not counted. */},
		}), author);
	}

	/** Returns a caller that is configured with the given hosts, or with all. */
	caller(hosts: readonly Host[] = this.hosts): Caller {
		const caller = new Caller({hosts: hosts.map(host => host.settings.listen.callers)});
		this.#callers.push(caller);
		return caller;
	}

	publication(changes: {readonly targetMs?: number} = {}): Publication {
		const regions = Object.keys(this.#options.regions);
		return Publication.parse({
			deployment: {
				deployment: {name: 'small'},
				regions: regions.map(name => ({name, zones: [`${name}-a`, `${name}-b`]})),
				links: [],
			},
			services: {
				bids: {
					service: {name: 'bids'},
					classes: [
						{
							name: 'bid', priority: 1, targetMs: changes.targetMs ?? 200, deadlineMs: 5000, repeatable: false, floor: 0.5,
						},
						{
							name: 'read', priority: 2, targetMs: 200, deadlineMs: 5000, repeatable: true, floor: 0.2,
						},
						{
							name: 'archive', priority: 3, targetMs: 5000, deadlineMs: 60_000, repeatable: true, floor: 0.1,
						},
					],
					places: regions.map(region => ({
						region,
						zone: `${region}-a`,
						slots: this.#options.slots ?? 3,
						connections: 700,
						instances: this.upstreams.filter(item => item.region === region).map((item, index) => ({id: `${region}-${index}`, address: item.address})),
					})).filter(place => place.instances.length > 0),
				},
			},
		});
	}

	/** Waits until every running host serves, counts all running hosts of its region as alive and has a token if it has a backup. */
	async untilReady(): Promise<void> {
		await this.until('all running hosts serve', () => {
			const running = this.hosts.filter(host => host.isUp);
			return running.every(host => {
				const status = host.kernel.get('status').host();
				const peers = running.filter(other => other.settings.host.region === host.settings.host.region).length;
				const isHome = peers === 1 || host.kernel.get('home').token !== undefined;
				return status.phase === 'serving' && status.aliveMembers === peers && isHome;
			});
		});
	}

	async until(condition: string, isMet: () => boolean): Promise<void> {
		const endMs = performance.now() + waitMs;
		while (!isMet()) {
			if (performance.now() > endMs) {
				throw new Error(`condition not met within ${waitMs} ms: ${condition}`);
			}

			await delay(20);
		}
	}

	/** Returns the number of runs of each idempotency key at all upstreams. */
	runsByKey(): Map<string, number> {
		const runs = new Map<string, number>();
		for (const {standIn} of this.upstreams) {
			for (const [key, count] of standIn.runsByKey) {
				runs.set(key, (runs.get(key) ?? 0) + count);
			}
		}

		return runs;
	}

	async close(): Promise<void> {
		for (const caller of this.#callers) {
			caller.close();
		}

		await Promise.all(this.hosts.filter(host => host.isUp).map(async host => host.kernel.stop()));
		await Promise.all(this.upstreams.map(async item => item.standIn.close()));
		await this.hostList.close();
		await this.store.close();
	}

	async #addUpstream(region: string, index: number): Promise<void> {
		const host = nextLoopbackAddress();
		const standIn = new UpstreamStandIn({
			id: `${region}-${index}`, slots: this.#options.slots ?? 3, backlog: 4, meanMs: this.#options.meanMs ?? 5, random: () => 0.5, coldRequests: 0, restartMs: 300,
		});
		await standIn.listen(host, 7000);
		this.upstreams.push({standIn, address: `${host}:7000`, region});
	}

	#addHost(region: string, index: number, hostListAddress: string): void {
		const host = nextLoopbackAddress();
		const settings = DaemonSettings.parse({
			host: {id: `${region}-${index}`, region, zone: `${region}-${index % 2 === 0 ? 'a' : 'b'}`},
			listen: {callers: `${host}:7200`, peers: `${host}:7201`, operators: `${host}:7202`},
			store: {address: this.#storeAddress, timeoutMs: 500},
			hostList: {address: hostListAddress, pollMs: 500},
			gossip: {periodMs: 200, probeTimeoutMs: 60, pauseLimitMs: 2000},
			stop: {lookupTtlMs: 200, graceMs: 10_000},
			limits: {maxRequestBytes: 10_000},
		});
		this.hosts.push({
			id: settings.host.id, settings, kernel: createDaemon({settings, logLevel: 'error'}), isUp: false,
		});
	}
}

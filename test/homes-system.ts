import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {LinkStandIn} from '../stand-ins/link-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';
import {until} from './until.js';

type Daemon = Awaited<ReturnType<typeof startSteeringDaemon>>;
type Region = 'dsm' | 'aru';
type RequestKind = keyof typeof requestKinds;
type Outcome = {readonly status: number; readonly hasRetryAfter: boolean; readonly ranIn: readonly string[]};

const storePort = 8384;
const instancePort = 8080;
/** Time from the store's acknowledgement of a configuration after which no request may be handled as only an older one allows, and a little more. */
const pastApplyMs = 4200;
const {route, account, configuration, instance: instanceEntry} = platformDocuments;

const requestKinds = {
	routeWithHome: {path: '/homed/', key: 'k-acme'},
	accountWithHome: {path: '/read/', key: 'k-mover'},
	accountWithHomeOnPublicRoute: {path: '/open/', key: 'k-mover'},
	/** The key of an account that only the later configuration has. */
	newAccountOnPublicRoute: {path: '/open/', key: 'k-newcomer'},
	withoutHomes: {path: '/read/', key: 'k-acme'},
	anonymous: {path: '/open/', key: undefined},
} as const;

/** Returns a configuration in which a route and an account have one home region; `otherRoutes` is the number of routes that make it large. */
const configurationWithHome = (version: number, home: Region, otherRoutes: number) => configuration(version, [
	route('homed', '/homed/', {allowed_regions: [home]}),
	route('read', '/read/'),
	route('open', '/open/', {public: true}),
	account('acme', ['k-acme']),
	account('mover', ['k-mover'], {allowed_regions: [home]}),
	...(version > 3 ? [account('newcomer', ['k-newcomer'], {allowed_regions: [home]})] : []),
	...Array.from({length: otherRoutes}, (_, index) => route(`other-${index}`, `/other-${index}/`)),
]);

/** Daemons of the region dsm with a link each to the store, and an instance in each of two regions. The home of a route and of an account moves from dsm to aru. */
export class HomesSystem {
	/** Starts daemons, and waits until they know each other and serve all requests. */
	static async start(daemonCount: number): Promise<HomesSystem> {
		const system = new HomesSystem();
		await system.#start(daemonCount);
		return system;
	}

	readonly daemons: Daemon[] = [];
	readonly links: LinkStandIn[] = [];
	readonly #store = new KvStoreStandIn();
	/** Address of the store for the hosts that it turns away. */
	readonly #refusingStore = new KvStoreStandIn();
	readonly #instances: Readonly<Record<Region, PlatformInstanceStandIn>> = {dsm: new PlatformInstanceStandIn(), aru: new PlatformInstanceStandIn()};
	#requestCount = 0;

	/** Versions of the configurations that are in force at the daemons. */
	get versions(): Array<number | undefined> {
		return this.daemons.map(({kernel}) => kernel.get('steering').routes?.version);
	}

	/** Lets the store acknowledge the configuration with the later homes, and returns later than hosts may go on by the older ones. */
	async moveHomes({otherRoutes = 0} = {}): Promise<void> {
		this.#store.write('op/config', configurationWithHome(4, 'aru', otherRoutes));
		await delay(pastApplyMs);
	}

	/** Starts a daemon that the store turns away and that takes its items from the first one. */
	async startFromPeer(): Promise<void> {
		this.#refusingStore.setFaults({mode: 'busy'});
		const daemon = await startSteeringDaemon(await listen(this.#refusingStore, storePort), {seeds: [`${this.daemons[0]!.host}:7200`]});
		this.daemons.push(daemon);
		await until(async () => {
			const {status} = await this.send(daemon, 'withoutHomes');
			return status === 200;
		});
	}

	async send({host}: Daemon, kind: RequestKind): Promise<Outcome> {
		this.#requestCount++;
		const requestId = `r${this.#requestCount}`;
		const {path, key} = requestKinds[kind];
		const {statusCode, headers, body} = await request(`http://${host}:8381${path}`, {
			headers: {
				host: 'shop.example', 'x-request-id': requestId, 'x-affinity-key': 'k', ...(key !== undefined && {authorization: `Token ${key}`}),
			},
		});
		await body.dump();
		return {
			status: statusCode,
			hasRetryAfter: Number(headers['retry-after']) > 0,
			ranIn: Object.entries(this.#instances).filter(([, {executedRequests}]) => executedRequests.some(executed => executed.requestId === requestId)).map(([region]) => region),
		};
	}

	/** Sends one request of each kind to a daemon; returns its outcomes by kind. */
	async sendAll(daemon: Daemon, kinds: readonly RequestKind[]): Promise<Partial<Record<RequestKind, Outcome>>> {
		const outcomes: Partial<Record<RequestKind, Outcome>> = {};
		for (const kind of kinds) {
			outcomes[kind] = await this.send(daemon, kind);
		}

		return outcomes;
	}

	/** Sends requests of each kind to all daemons until they are answered; returns the regions in which any of them ran. */
	async regionsUntilAnswered(kinds: readonly RequestKind[]): Promise<string[]> {
		const regions = new Set<string>();
		for (const daemon of this.daemons) {
			for (const kind of kinds) {
				await until(async () => {
					const {status, ranIn} = await this.send(daemon, kind);
					for (const region of ranIn) {
						regions.add(region);
					}

					return status === 200;
				});
			}
		}

		return [...regions];
	}

	async close(): Promise<void> {
		await Promise.all(this.daemons.map(async daemon => daemon.close()));
		await Promise.all(this.links.map(async link => link.close()));
		await Promise.all(Object.values(this.#instances).map(async instance => instance.close()));
		await this.#refusingStore.close();
		await this.#store.close();
	}

	async #start(daemonCount: number): Promise<void> {
		const storeAddress = await listen(this.#store, storePort);
		for (const [region, instance] of Object.entries(this.#instances)) {
			this.#store.write(`servers/${region}`, instanceEntry(await listen(instance, instancePort), {zone: `${region}-a`}));
		}

		this.#store.write('op/config', configurationWithHome(3, 'dsm', 0));
		while (this.daemons.length < daemonCount) {
			const link = new LinkStandIn(storeAddress);
			this.links.push(link);
			this.daemons.push(await startSteeringDaemon(await listen(link, storePort)));
		}

		await until(() => this.daemons.every(({kernel}) => kernel.get('members').membership.candidates().length === daemonCount));
		await this.regionsUntilAnswered(['routeWithHome', 'accountWithHome', 'accountWithHomeOnPublicRoute', 'withoutHomes', 'anonymous']);
	}
}

async function listen(server: {listen: (host: string, port: number) => Promise<unknown>}, port: number): Promise<string> {
	const host = nextLoopbackAddress();
	await server.listen(host, port);
	return `${host}:${port}`;
}

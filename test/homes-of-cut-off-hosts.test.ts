import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {LinkStandIn} from '../stand-ins/link-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';
import {until} from './until.js';

type Daemon = Awaited<ReturnType<typeof startSteeringDaemon>>;
type RequestKind = keyof typeof requestKinds;

const storePort = 8384;
/** Time from the store's acknowledgement of a configuration after which no request may be handled as only an older one allows. */
const configApplyMs = 4000;
const {route, account, configuration, instance: instanceEntry} = platformDocuments;

/** Returns a configuration in which a route and an account have one home region. */
const configurationWithHome = (version: number, home: string) => configuration(version, [
	route('homed', '/homed/', {allowed_regions: [home]}),
	route('read', '/read/'),
	route('open', '/open/', {public: true}),
	account('acme', ['k-acme']),
	account('mover', ['k-mover'], {allowed_regions: [home]}),
	...(home === 'aru' ? [account('newcomer', ['k-newcomer'], {allowed_regions: [home]})] : []),
]);

const requestKinds = {
	routeWithHome: {path: '/homed/', key: 'k-acme'},
	accountWithHome: {path: '/read/', key: 'k-mover'},
	accountWithHomeOnPublicRoute: {path: '/open/', key: 'k-mover'},
	withoutHomes: {path: '/read/', key: 'k-acme'},
	anonymous: {path: '/open/', key: undefined},
	/** The key is in the later configuration only. */
	newKeyOnPublicRoute: {path: '/open/', key: 'k-newcomer'},
} as const;
const kindsWithHomes = ['routeWithHome', 'accountWithHome', 'accountWithHomeOnPublicRoute'] as const;
const kindsWithoutHomes = ['withoutHomes', 'anonymous'] as const;
const refused = {status: 503, hasRetryAfter: true, ranIn: []};

// Guards against requests that run outside their home regions because a host does not know that these were moved (HOME, CONFIG).
describe('requests with homes at hosts that are cut off from the store', () => {
	const links: LinkStandIn[] = [];
	const daemons: Daemon[] = [];
	let store: KvStoreStandIn;
	let refusingStore: KvStoreStandIn;
	let storeAddress: string;
	let refusingStoreAddress: string;
	/** One instance in each region. */
	let instances: Readonly<Record<'dsm' | 'aru', PlatformInstanceStandIn>>;
	let requestCount = 0;

	beforeEach(async () => {
		store = new KvStoreStandIn();
		refusingStore = new KvStoreStandIn();
		refusingStore.setFaults({mode: 'busy'});
		storeAddress = await listen(store, storePort);
		refusingStoreAddress = await listen(refusingStore, storePort);
		instances = {dsm: new PlatformInstanceStandIn(), aru: new PlatformInstanceStandIn()};
		for (const [region, instance] of Object.entries(instances)) {
			store.write(`servers/${region}`, instanceEntry(await listen(instance, 8080), {zone: `${region}-a`}));
		}

		store.write('op/config', configurationWithHome(3, 'dsm'));
	});

	afterEach(async () => {
		await Promise.all(daemons.splice(0).map(async daemon => daemon.close()));
		await Promise.all(links.splice(0).map(async link => link.close()));
		await Promise.all(Object.values(instances).map(async instance => instance.close()));
		await refusingStore.close();
		await store.close();
	});

	async function listen(server: {listen: (host: string, port: number) => Promise<unknown>}, port: number): Promise<string> {
		const host = nextLoopbackAddress();
		await server.listen(host, port);
		return `${host}:${port}`;
	}

	/** Starts daemons, each on a link of its own to the store, and waits until they know each other and serve. */
	async function startDaemons(count: number): Promise<void> {
		while (daemons.length < count) {
			const link = new LinkStandIn(storeAddress);
			links.push(link);
			daemons.push(await startSteeringDaemon(await listen(link, storePort)));
		}

		await until(() => daemons.every(({kernel}) => kernel.get('members').membership.candidates().length === count));
		for (const daemon of daemons) {
			await until(async () => {
				const outcomes = await sendAll(daemon, [...kindsWithHomes, ...kindsWithoutHomes]);
				return Object.values(outcomes).every(({status}) => status === 200);
			});
		}
	}

	/** Cuts all daemons off from the store, moves the homes, and returns later than hosts may go on by the older homes. */
	async function moveHomesUnseen(): Promise<void> {
		for (const link of links) {
			link.cut();
		}

		store.write('op/config', configurationWithHome(4, 'aru'));
		await delay(configApplyMs + 200);
		expect(versions()).toEqual(daemons.map(() => 3));
	}

	const versions = () => daemons.map(({kernel}) => kernel.get('steering').routes?.version);

	/** Sends a request, and returns its status and the regions in which it ran. */
	async function send(daemon: Daemon, kind: RequestKind) {
		requestCount++;
		const requestId = `r${requestCount}`;
		const {path, key} = requestKinds[kind];
		const {statusCode, headers, body} = await request(`http://${daemon.host}:8381${path}`, {
			headers: {
				host: 'shop.example', 'x-request-id': requestId, 'x-affinity-key': 'k', ...(key !== undefined && {authorization: `Token ${key}`}),
			},
		});
		await body.dump();
		return {
			status: statusCode,
			hasRetryAfter: Number(headers['retry-after']) > 0,
			ranIn: Object.entries(instances).filter(([, {executedRequests}]) => executedRequests.some(executed => executed.requestId === requestId)).map(([region]) => region),
		};
	}

	async function sendAll(daemon: Daemon, kinds: readonly RequestKind[]): Promise<Record<string, Awaited<ReturnType<typeof send>>>> {
		const outcomes: Record<string, Awaited<ReturnType<typeof send>>> = {};
		for (const kind of kinds) {
			outcomes[kind] = await send(daemon, kind);
		}

		return outcomes;
	}

	const allOf = <Outcome>(kinds: readonly RequestKind[], outcome: Outcome) => Object.fromEntries(kinds.map(kind => [kind, outcome]));

	/** Waits until requests with homes are answered, and checks that they run in the new home only. */
	async function expectNewHome(daemon: Daemon): Promise<void> {
		for (const kind of kindsWithHomes) {
			await until(async () => {
				const outcome = await send(daemon, kind);
				expect(outcome.ranIn).not.toContain('dsm');
				return outcome.status === 200 && outcome.ranIn.join(' ') === 'aru';
			});
		}
	}

	it('are refused as not run by a host without peers, which serves all others, until the store answers it again', async () => {
		await startDaemons(1);
		await moveHomesUnseen();
		const [daemon] = daemons as [Daemon];
		expect(await sendAll(daemon, kindsWithHomes)).toEqual(allOf(kindsWithHomes, refused));
		expect(await sendAll(daemon, kindsWithoutHomes)).toMatchObject(allOf(kindsWithoutHomes, {status: 200}));
		links[0]!.mend();
		await expectNewHome(daemon);
	});

	it('are not run as anonymous on a public route with the key of an account that the host does not know yet', async () => {
		await startDaemons(1);
		await moveHomesUnseen();
		const [daemon] = daemons as [Daemon];
		expect(await send(daemon, 'newKeyOnPublicRoute')).toEqual(refused);
		expect(await send(daemon, 'anonymous')).toMatchObject({status: 200});
		links[0]!.mend();
		await until(async () => {
			const outcome = await send(daemon, 'newKeyOnPublicRoute');
			expect(outcome.ranIn).not.toContain('dsm');
			return outcome.status === 200;
		});
	});

	it('are refused as not run by hosts that reach only each other, and by one that starts from their items, until the store answers one of them', async () => {
		await startDaemons(2);
		await moveHomesUnseen();
		daemons.push(await startSteeringDaemon(refusingStoreAddress, {seeds: [`${daemons[0]!.host}:7200`]}));
		await until(async () => {
			const {status} = await send(daemons[2]!, 'withoutHomes');
			return status === 200;
		});
		expect(versions()).toEqual([3, 3, 3]);
		for (const daemon of daemons.toReversed()) {
			expect(await sendAll(daemon, kindsWithHomes)).toEqual(allOf(kindsWithHomes, refused));
			expect(await sendAll(daemon, kindsWithoutHomes)).toMatchObject(allOf(kindsWithoutHomes, {status: 200}));
		}

		links[0]!.mend();
		for (const daemon of daemons) {
			await expectNewHome(daemon);
		}
	});
});

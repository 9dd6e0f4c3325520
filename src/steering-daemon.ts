import {randomBytes} from 'node:crypto';
import {getHeapStatistics} from 'node:v8';
import {InstanceClient} from './adapters/instance-client.js';
import {monotonicClock} from './adapters/monotonic-clock.js';
import {hostSizeOf} from './config/host-size-of.js';
import {type SteeringSettings} from './config/steering-settings.js';
import {type Clock} from './contracts/clock.js';
import {type HttpDialect} from './contracts/http-dialect.js';
import {type ListedHost} from './contracts/listed-host.js';
import {type Member} from './contracts/member.js';
import {type PrefixStore} from './contracts/prefix-store.js';
import {type SteeringItemCodec} from './contracts/steering-item-codec.js';
import {ByteBudget} from './decisions/byte-budget.js';
import {ClientBudget} from './decisions/client-budget.js';
import {clientLimits} from './decisions/client-limits.js';
import {CollectionPolicy} from './decisions/collection-policy.js';
import {coldShare} from './decisions/cold-share.js';
import {ColdRateLimiter} from './decisions/cold-rate-limiter.js';
import {RevisionTracker} from './decisions/revision-tracker.js';
import {InstanceTable} from './decisions/instance-table.js';
import {Membership} from './decisions/membership.js';
import {Placement} from './decisions/placement.js';
import {RetryShare} from './decisions/retry-share.js';
import {SeededRandom} from './decisions/seeded-random.js';
import {StoreOutage} from './decisions/store-outage.js';
import {TransferAdmission} from './decisions/transfer-admission.js';
import {Kernel} from './kernel/kernel.js';
import {IngressService} from './services/ingress-service.js';
import {Logger} from './services/logger.js';
import {LoopMonitor} from './services/loop-monitor.js';
import {LoopTurns} from './services/loop-turns.js';
import {MembersService} from './services/members-service.js';
import {Metrics} from './services/metrics.js';
import {NoticeRecorder} from './services/notice-recorder.js';
import {PeerClient} from './services/peer-client.js';
import {PlannerService} from './services/planner-service.js';
import {ProxyService} from './services/proxy-service.js';
import {QuarantineService} from './services/quarantine-service.js';
import {addQuotas} from './services/quotas/add-quotas.js';
import {ReplicaService} from './services/replica-service.js';
import {HostListService} from './services/host-list-service.js';
import {SteeringService} from './services/steering-service.js';
import {AttemptObserver} from './services/attempt-observer.js';
import {ClientGuard} from './services/uploads/client-guard.js';
import {addSteeringServers} from './steering-servers.js';

/** Interfaces of the operators' platform: its store, the items in it, and its HTTP headers. */
type SteeringPlatform = {
	readonly openStore: (options: {readonly address: string; readonly timeoutMs: number; readonly linkMbps: number | undefined; readonly clock: Clock; readonly onCall: (kind: string) => void}) => PrefixStore & {readonly close: () => void};
	readonly itemCodec: SteeringItemCodec;
	readonly dialect: HttpDialect;
};

type SteeringDaemonOptions = {readonly settings: SteeringSettings; readonly platform: SteeringPlatform};

/** Settings of the failure detector. With them a failed host is removed from the directory within about three seconds. */
const gossipSettings = {
	periodMs: 500, probeTimeoutMs: 250, suspicionPeriods: 3, pauseLimitMs: 2000,
};
/** Number of ticks of the failure detector in one gossip period. */
const ticksPerPeriod = 5;
const hostListPollMs = 1000;
/** Time for which a host waits for changes that watchers of the store spread: two hops, each a turn of a busy host's event loop. */
const pullDelayMs = 300;
/** Interval at which idle connections are closed. */
const sweepMs = 2000;
/** Entries whose leases expired while the store was unavailable are written again within about two seconds of its recovery. */
const entryReappearanceMs = 2200;
/** Time in one turn of the event loop for which requests that were read are started. */
const requestSliceMs = 10;
/** Time for which crash reports of requests are collected: an instance that fails loses all requests that it runs at once. */
const crashReportCollectMs = 500;
/**
 * Share of the time in which a configuration must come into force for which a host relies on what it knows without a confirmation. The rest is for the
 * way of a change to the watchers, and of their contact to this host.
 */
const maxUnconfirmedShare = 0.6;
const maxPeerResponseBytes = 16_777_216;
const maxInstanceConnections = 64;
/** Responses of instances up to this size are buffered completely before they are forwarded. */
const maxBufferedResponseBytes = 262_144;
const bytesPerMb = 1_048_576;

/** Creates the kernel with the services of a daemon that serves published routes; starting the kernel starts them. */
export function createSteeringDaemon({settings, platform}: SteeringDaemonOptions): Kernel {
	const seed = randomBytes(4).readInt32LE();
	const self: Member = {
		...settings.host, boot: randomBytes(4).toString('hex'), callers: settings.listen.clients, peers: settings.listen.peers,
	};
	const kernel = new Kernel();
	addInfrastructure(kernel, settings, platform, self);
	addReplicatedState(kernel, settings, platform, seed);
	addMembership(kernel, platform, {self, size: hostSizeOf(settings.capacity), seed});
	addQuotas(kernel, settings, platform.itemCodec);
	addRequestPath(kernel, settings, platform, seed);
	addSteeringServers(kernel, settings);
	return kernel;
}

function addInfrastructure(kernel: Kernel, settings: SteeringSettings, platform: SteeringPlatform, self: Member): void {
	kernel
		.add({name: 'clock', requires: [], start: () => monotonicClock})
		.add({name: 'logger', requires: [], start: () => new Logger(settings.log.level, {host: self.id, boot: self.boot})})
		.add({name: 'metrics', requires: [], start: () => new Metrics()})
		.add({
			name: 'loopMonitor', requires: ['clock', 'logger', 'metrics'], start({get, lifecycle}) {
				const monitor = new LoopMonitor({clock: get('clock'), logger: get('logger'), metrics: get('metrics')});
				monitor.start(lifecycle);
				return monitor;
			},
		})
		.add({
			name: 'prefixStore', requires: ['clock', 'metrics'], start({get, lifecycle}) {
				const metrics = get('metrics');
				const store = platform.openStore({
					...settings.store, linkMbps: settings.capacity?.linkMbps, clock: get('clock'), onCall(kind) {
						metrics.count('store_calls', {kind});
					},
				});
				lifecycle.addCleanup('store', () => {
					store.close();
				});
				return store;
			},
		})
		.add({
			name: 'peerClient', requires: ['clock'], start({get, lifecycle}) {
				const client = new PeerClient(get('clock'), maxPeerResponseBytes, settings.capacity?.linkMbps);
				lifecycle.every('sweep', sweepMs, () => {
					client.sweep();
				});
				lifecycle.addCleanup('peer connections', () => {
					client.close();
				});
				return client;
			},
		});
}

function addReplicatedState(kernel: Kernel, settings: SteeringSettings, platform: SteeringPlatform, seed: number): void {
	kernel
		.add({
			name: 'replica', requires: ['clock', 'logger', 'metrics', 'prefixStore', 'peerClient'],
			start: ({get}) => new ReplicaService({
				revisionTracker: new RevisionTracker(new SeededRandom(seed + 1), get('clock').nowMs(), {pullDelayMs}),
				outage: new StoreOutage(entryReappearanceMs),
				clock: get('clock'),
				store: get('prefixStore'),
				logger: get('logger'),
				metrics: get('metrics'),
				peerClient: get('peerClient'),
				seeds: settings.seeds.filter(address => address !== settings.listen.peers),
				admission: new TransferAdmission({linkMbps: settings.capacity?.linkMbps ?? Number.POSITIVE_INFINITY}),
			}),
		})
		.add({name: 'instances', requires: [], start: () => new InstanceTable({regionOf: new Map(Object.entries(settings.zones))})})
		.add({
			name: 'steering', requires: ['clock', 'logger', 'metrics', 'replica', 'instances'], async start({get, lifecycle}) {
				const steering = new SteeringService({
					clock: get('clock'), logger: get('logger'), metrics: get('metrics'), replica: get('replica'), itemCodec: platform.itemCodec, instances: get('instances'),
				});
				steering.start(lifecycle);
				await get('replica').start(lifecycle);
				return steering;
			},
		});
}

function addMembership(kernel: Kernel, platform: SteeringPlatform, {self, size, seed}: {readonly self: Member; readonly size: ListedHost['size']; readonly seed: number}): void {
	const entry: ListedHost = {
		address: self.peers, role: 'entry', state: 'live', region: self.region, zone: self.zone, size,
	};
	kernel
		.add({
			name: 'roster', requires: ['prefixStore', 'steering', 'logger', 'replica'], start({get, lifecycle}) {
				const hostList = new HostListService({
					store: get('prefixStore'), steering: get('steering'), logger: get('logger'), replica: get('replica'), random: new SeededRandom(seed + 4),
					key: platform.itemCodec.hostKey(self.id),
					value: platform.itemCodec.encodeHost(entry),
				});
				hostList.start(lifecycle);
				return hostList;
			},
		})
		.add({
			name: 'members', requires: ['clock', 'logger', 'metrics', 'roster', 'peerClient', 'replica'], async start({get, lifecycle}) {
				const membership = new Membership(gossipSettings, self, new SeededRandom(seed));
				// The host is not serving yet. The returned effects are ignored, since gossip has not started and no peer is known.
				membership.setLeaving(true);
				const members = new MembersService({
					membership,
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					hostList: get('roster'),
					peerClient: get('peerClient'),
					tickMs: gossipSettings.periodMs / ticksPerPeriod,
					hostListPollMs,
				});
				await members.start(lifecycle);
				get('replica').follow(members, lifecycle);
				return members;
			},
		})
		.add({
			name: 'quarantine', requires: ['clock', 'logger', 'metrics', 'members', 'peerClient'], start({get, lifecycle}) {
				const quarantine = new QuarantineService({
					clock: get('clock'), logger: get('logger'), metrics: get('metrics'), members: get('members'), peerClient: get('peerClient'), collectMs: crashReportCollectMs,
				});
				quarantine.start(lifecycle);
				return quarantine;
			},
		});
}

function addRequestPath(kernel: Kernel, settings: SteeringSettings, platform: SteeringPlatform, seed: number): void {
	const {bounds} = settings;
	const limits = clientLimits(settings.clients, settings.capacity, getHeapStatistics().heap_size_limit / bytesPerMb);
	kernel
		.add({
			name: 'clientGuard', requires: ['clock', 'logger', 'metrics'], start({get, lifecycle}) {
				const {maxRequestsAhead, memoryWaitMs} = settings.clients;
				const guard = new ClientGuard({
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					budget: new ClientBudget(limits),
					collection: new CollectionPolicy(limits),
					requestIdOf: headers => platform.dialect.readRequest(headers).requestId,
					maxRequestsAhead,
					memoryWaitMs,
				});
				guard.start(lifecycle);
				return guard;
			},
		})
		.add({
			name: 'notices', requires: ['clock', 'logger', 'metrics', 'instances'],
			start: ({get}) => new NoticeRecorder({
				clock: get('clock'), logger: get('logger'), metrics: get('metrics'), instances: get('instances'),
			}),
		})
		.add({
			name: 'planner', requires: ['clock', 'logger', 'metrics', 'members', 'peerClient', 'instances', 'steering', 'notices'], start({get, lifecycle}) {
				const planner = new PlannerService({
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					members: get('members'),
					peerClient: get('peerClient'),
					instances: get('instances'),
					steering: get('steering'),
					notices: get('notices'),
					maxReportedObjects: settings.clients.maxReportedObjects,
					maxPlannedObjects: settings.clients.maxPlannedObjects,
				});
				planner.start(lifecycle);
				return planner;
			},
		})
		.add({
			name: 'instanceClient', requires: ['clock', 'metrics'], start({get, lifecycle}) {
				const client = new InstanceClient({
					clock: get('clock'), dialect: platform.dialect, maxConnections: maxInstanceConnections, maxTotalConnections: limits.maxInstanceConnections, maxBufferedResponseBytes,
				});
				get('metrics').gauge('instance_connections', () => client.connections);
				lifecycle.every('sweep', sweepMs, () => {
					client.sweep();
				});
				lifecycle.addCleanup('instance connections', () => {
					client.close();
				});
				return client;
			},
		})
		.add({
			name: 'proxy', requires: ['clock', 'logger', 'metrics', 'steering', 'instances', 'instanceClient', 'quarantine', 'members', 'planner', 'notices', 'quotas'], start({get}) {
				const members = get('members');
				const placement = new Placement({
					table: get('instances'),
					coldLimiter: new ColdRateLimiter(),
					random: new SeededRandom(seed + 2),
					region: settings.host.region,
					hostsByRegion: () => get('steering').hostsByRegion(),
					assignments: get('planner').assignments,
					prioritiesOf: service => get('planner').prioritiesOf(service),
					urgentTargetMs: service => get('steering').targetMs(service, get('planner').prioritiesOf(service)[0]),
					reservationOf: service => get('planner').reservationOf(service),
					coldShare: instanceId => (members.mayActForRegion()
						? coldShare(instanceId, {
							self: members.membership.self.peers,
							candidates: members.membership.candidates().map(member => member.peers),
							listed: get('steering').addressesOf(settings.host.region),
						})
						: 0),
				});
				const proxy = new ProxyService({
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					steering: get('steering'),
					placement,
					client: get('instanceClient'),
					retries: new RetryShare({ratio: bounds.retryRatio, slack: bounds.retrySlack, windowMs: bounds.retryWindowMs}),
					quarantine: get('quarantine'),
					planner: get('planner'),
					notices: get('notices'),
					quotas: get('quotas'),
					turns: new LoopTurns({clock: get('clock'), sliceMs: requestSliceMs}),
					observer: new AttemptObserver({
						clock: get('clock'), metrics: get('metrics'), planner: get('planner'), region: settings.host.region,
					}),
					random: new SeededRandom(seed + 3),
					maxUnconfirmedMs: bounds.configApplyMs * maxUnconfirmedShare,
					countHosts: () => Math.max(get('steering').hosts.size, members.membership.alive().length),
					coldLimitPerSecond: perSecond => (perSecond * bounds.coldMultiplier) + bounds.coldTolerance,
				});
				get('metrics').gauge('requests_in_flight', () => proxy.inFlight);
				return proxy;
			},
		})
		.add({
			name: 'ingress', requires: ['clock', 'logger', 'metrics', 'proxy', 'steering', 'clientGuard'], async start({get, lifecycle}) {
				const ingress = new IngressService({
					address: settings.listen.clients,
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					dialect: platform.dialect,
					proxy: get('proxy'),
					guard: get('clientGuard'),
					heldBytes: new ByteBudget(limits.heldResponses),
				});
				get('steering').onRoutes(({limits}) => {
					ingress.setLimits(limits);
				});
				await ingress.start(lifecycle);
				return ingress;
			},
		});
}

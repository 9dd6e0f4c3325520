import {randomBytes} from 'node:crypto';
import {ConsulStore} from './adapters/consul-store.js';
import {HttpUpstream} from './adapters/http-upstream.js';
import {monotonicClock} from './adapters/monotonic-clock.js';
import {SdHostList} from './adapters/sd-host-list.js';
import {type DaemonSettings} from './config/daemon-settings.js';
import {type Member} from './contracts/member.js';
import {RevisionTracker} from './decisions/revision-tracker.js';
import {Ledger} from './decisions/ledger.js';
import {Membership} from './decisions/membership.js';
import {SeededRandom} from './decisions/seeded-random.js';
import {Kernel} from './kernel/kernel.js';
import {callerServer} from './services/caller-server.js';
import {ConfigService} from './services/config-service.js';
import {DispatchService} from './services/dispatch-service.js';
import {followDrains} from './services/follow-drains.js';
import {gatewayHostStatus} from './services/gateway-host-status.js';
import {GatewayService} from './services/gateway-service.js';
import {HomeService} from './services/home-service.js';
import {serveHttp} from './services/http-service.js';
import {Logger} from './services/logger.js';
import {LoopMonitor} from './services/loop-monitor.js';
import {LookupService} from './services/lookup-service.js';
import {MembersService} from './services/members-service.js';
import {Metrics} from './services/metrics.js';
import {operatorServer} from './services/operator-server.js';
import {PeerClient} from './services/peer-client.js';
import {PeerRouter} from './services/peer-router.js';
import {peerServer} from './services/peer-server.js';
import {QuarantineService} from './services/quarantine-service.js';
import {RouteService} from './services/route-service.js';
import {ShiftService} from './services/shift-service.js';
import {StatusService} from './services/status-service.js';
import {StopService} from './services/stop-service.js';
import {Tracer} from './services/tracer.js';

type DaemonOptions = {readonly settings: DaemonSettings; readonly logLevel: string};

/** Number of ticks of the failure detector in one gossip period. */
const ticksPerPeriod = 10;
/** Interval at which idle connections are closed. */
const sweepMs = 5000;
/** The platform charges for each call to this store, and a configuration may take 7 s until it is in force everywhere. */
const storeContactTiming = {probeIntervalMs: 2000, staleAfterMs: 4500};
/** Time for which a token accepts new keys. */
const tokenOpenMs = 600_000;
/** Time after `tokenOpenMs` for which outcomes are still replayed. */
const replayMs = 600_000;
/** Time for which callers receive the same token before it is replaced. */
const tokenIssueMs = 300_000;
const maxKeysPerToken = 50_000;
const maxReplayBytes = 67_108_864;

/** Creates the kernel with the services of the daemon; starting the kernel starts them. */
export function createDaemon({settings, logLevel}: DaemonOptions): Kernel {
	const seed = randomBytes(4).readInt32LE();
	const self: Member = {
		...settings.host, boot: randomBytes(4).toString('hex'), callers: settings.listen.callers, peers: settings.listen.peers,
	};
	const kernel = new Kernel();
	addInfrastructure(kernel, settings, logLevel, self);
	addMembership(kernel, settings, self, seed);
	addRequestPath(kernel, settings);
	addServers(kernel, settings);
	return kernel;
}

function addInfrastructure(kernel: Kernel, settings: DaemonSettings, logLevel: string, self: Member): void {
	kernel
		.add({name: 'settings', requires: [], start: () => settings})
		.add({name: 'clock', requires: [], start: () => monotonicClock})
		.add({name: 'logger', requires: [], start: () => new Logger(logLevel, {host: self.id, boot: self.boot})})
		.add({name: 'metrics', requires: [], start: () => new Metrics()})
		.add({
			name: 'loopMonitor', requires: ['clock', 'logger', 'metrics'], start({get, lifecycle}) {
				const monitor = new LoopMonitor({clock: get('clock'), logger: get('logger'), metrics: get('metrics')});
				monitor.start(lifecycle);
				return monitor;
			},
		})
		.add({
			name: 'tracer', requires: [], start({lifecycle}) {
				const tracer = new Tracer({otlp: settings.trace.otlp, attributes: {'host.name': self.id, region: self.region, zone: self.zone}});
				lifecycle.addCleanup('tracer', async () => tracer.close());
				return tracer;
			},
		})
		.add({
			name: 'store', requires: ['clock', 'metrics'], start({get, lifecycle}) {
				const metrics = get('metrics');
				const store = new ConsulStore({
					...settings.store, clock: get('clock'), onCall(kind) {
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
			name: 'hostList', requires: ['clock'], start({get, lifecycle}) {
				const list = new SdHostList({address: settings.hostList.address, timeoutMs: settings.store.timeoutMs, clock: get('clock')});
				lifecycle.addCleanup('host list', () => {
					list.close();
				});
				return list;
			},
		})
		.add({
			name: 'upstream', requires: ['clock', 'metrics'], start({get, lifecycle}) {
				const upstream = new HttpUpstream({clock: get('clock'), maxAnswerBytes: settings.limits.maxAnswerBytes, maxConnections: 700});
				get('metrics').gauge('upstream_connections', () => upstream.connections);
				lifecycle.every('sweep', sweepMs, () => {
					upstream.sweep();
				});
				lifecycle.addCleanup('upstream connections', () => {
					upstream.close();
				});
				return upstream;
			},
		})
		.add({
			name: 'peerClient', requires: ['clock', 'metrics'], start({get, lifecycle}) {
				const client = new PeerClient(get('clock'), settings.limits.maxAnswerBytes);
				get('metrics').gauge('peer_connections', () => client.connections);
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

function addMembership(kernel: Kernel, settings: DaemonSettings, self: Member, seed: number): void {
	kernel
		.add({
			name: 'members', requires: ['clock', 'logger', 'metrics', 'hostList', 'peerClient'], async start({get, lifecycle}) {
				const members = new MembersService({
					membership: new Membership(settings.gossip, self, new SeededRandom(seed)),
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					hostList: get('hostList'),
					peerClient: get('peerClient'),
					tickMs: settings.gossip.periodMs / ticksPerPeriod,
					hostListPollMs: settings.hostList.pollMs,
				});
				await members.start(lifecycle);
				return members;
			},
		})
		.add({
			name: 'config', requires: ['clock', 'logger', 'metrics', 'store', 'members', 'peerClient'], start({get, lifecycle}) {
				const config = new ConfigService({
					revisionTracker: new RevisionTracker(new SeededRandom(seed + 1), get('clock').nowMs(), storeContactTiming),
					clock: get('clock'),
					store: get('store'),
					logger: get('logger'),
					metrics: get('metrics'),
					members: get('members'),
					peerClient: get('peerClient'),
				});
				config.start(lifecycle);
				get('metrics').gauge('config_revision', () => config.current?.revision ?? 0);
				return config;
			},
		});
}

function addRequestPath(kernel: Kernel, settings: DaemonSettings): void {
	kernel
		.add({
			name: 'quarantine', requires: ['clock', 'logger', 'metrics', 'members', 'peerClient'], start({get, lifecycle}) {
				const quarantine = new QuarantineService({
					clock: get('clock'), logger: get('logger'), metrics: get('metrics'), members: get('members'), peerClient: get('peerClient'), collectMs: 0,
				});
				quarantine.start(lifecycle);
				return quarantine;
			},
		})
		.add({
			name: 'shift', requires: ['clock', 'members', 'config', 'peerClient', 'metrics'],
			start: ({get}) => new ShiftService({
				clock: get('clock'), members: get('members'), config: get('config'), peerClient: get('peerClient'), metrics: get('metrics'),
			}),
		})
		.add({
			name: 'dispatch', requires: ['clock', 'logger', 'metrics', 'tracer', 'members', 'config', 'upstream', 'quarantine', 'shift'], start({get, lifecycle}) {
				const dispatch = new DispatchService({
					region: settings.host.region,
					maxQueued: settings.limits.maxQueued,
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					tracer: get('tracer'),
					members: get('members'),
					config: get('config'),
					upstream: get('upstream'),
					quarantine: get('quarantine'),
					shift: get('shift'),
				});
				dispatch.start(lifecycle);
				get('metrics').gauge('requests_pending', () => dispatch.pending);
				return dispatch;
			},
		})
		.add({
			name: 'route', requires: ['clock', 'members', 'dispatch', 'peerClient', 'metrics', 'tracer'],
			start: ({get}) => new RouteService({
				clock: get('clock'), members: get('members'), dispatch: get('dispatch'), peerClient: get('peerClient'), metrics: get('metrics'), tracer: get('tracer'),
			}),
		})
		.add({
			name: 'home', requires: ['clock', 'logger', 'metrics', 'members', 'peerClient', 'route'], start({get, lifecycle}) {
				const ledger = new Ledger({
					openMs: tokenOpenMs, replayMs, maxKeys: maxKeysPerToken, maxReplayBytes,
				});
				const home = new HomeService({
					ledger,
					tokenIssueMs,
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					members: get('members'),
					peerClient: get('peerClient'),
					route: get('route'),
				});
				home.start(lifecycle);
				get('metrics').gauge('keys_held', () => ledger.keys);
				get('metrics').gauge('replay_bytes', () => ledger.replayBytes);
				return home;
			},
		})
		.add({
			name: 'lookup', requires: ['members', 'config', 'home'],
			start: ({get}) => new LookupService({
				members: get('members'), config: get('config'), home: get('home'), ttlMs: settings.stop.lookupTtlMs,
			}),
		})
		.add({
			name: 'gateway', requires: ['clock', 'members', 'config', 'route', 'home', 'quarantine', 'metrics', 'tracer'],
			start: ({get}) => new GatewayService({
				clock: get('clock'),
				members: get('members'),
				config: get('config'),
				route: get('route'),
				home: get('home'),
				quarantine: get('quarantine'),
				metrics: get('metrics'),
				tracer: get('tracer'),
				maxBufferedBytes: settings.limits.maxBufferedBytes,
			}),
		});
}

function addServers(kernel: Kernel, settings: DaemonSettings): void {
	const {limits, listen} = settings;
	kernel
		.add({
			name: 'stop', requires: ['clock', 'logger', 'members', 'config', 'gateway', 'dispatch', 'home'],
			start({get}) {
				const logger = get('logger');
				const members = get('members');
				const gateway = get('gateway');
				const dispatch = get('dispatch');
				const home = get('home');
				const stop = new StopService({
					clock: get('clock'), logger, members, countRequestsInFlight: () => gateway.inFlight + dispatch.pending + home.unfinished, ...settings.stop,
				});
				followDrains({
					logger, members, config: get('config'), stop,
				});
				return stop;
			},
		})
		.add({
			name: 'status', requires: ['clock', 'members', 'config', 'dispatch', 'gateway', 'home', 'quarantine', 'stop', 'peerClient'],
			start: ({get}) => new StatusService({
				describe: () => gatewayHostStatus({
					clock: get('clock'),
					members: get('members'),
					config: get('config'),
					dispatch: get('dispatch'),
					gateway: get('gateway'),
					home: get('home'),
					quarantine: get('quarantine'),
					stop: get('stop'),
				}),
				isReady: () => get('config').current !== undefined && !get('members').membership.isLeaving,
				members: get('members'),
				peerClient: get('peerClient'),
			}),
		})
		.add({
			name: 'peerServer', requires: ['clock', 'members', 'config', 'home', 'quarantine', 'status', 'dispatch', 'route', 'peerClient'], async start({get, lifecycle}) {
				const router = PeerRouter.create({
					members: get('members'), config: get('config'), home: get('home'), quarantine: get('quarantine'), status: get('status'), dispatch: get('dispatch'), peerClient: get('peerClient'),
				});
				const app = peerServer({
					router, clock: get('clock'), dispatch: get('dispatch'), home: get('home'), route: get('route'), maxRequestBytes: limits.maxRequestBytes,
				});
				await serveHttp(app, {address: listen.peers, receiveTimeoutMs: limits.receiveTimeoutMs}, lifecycle);
				return {address: listen.peers};
			},
		})
		.add({
			name: 'callerServer', requires: ['gateway', 'lookup', 'home', 'metrics', 'peerServer'], async start({get, lifecycle}) {
				const app = callerServer({
					gateway: get('gateway'), lookup: get('lookup'), home: get('home'), metrics: get('metrics'), maxRequestBytes: limits.maxRequestBytes,
				});
				await serveHttp(app, {address: listen.callers, receiveTimeoutMs: limits.receiveTimeoutMs}, lifecycle);
				return {address: listen.callers};
			},
		})
		.add({
			name: 'operatorServer', requires: ['metrics', 'status', 'members', 'lookup', 'quarantine'], async start({get, lifecycle}) {
				const app = operatorServer({
					metrics: get('metrics'), status: get('status'), members: get('members'), lookup: get('lookup'), quarantine: get('quarantine'),
				});
				await serveHttp(app, {address: listen.operators, receiveTimeoutMs: limits.receiveTimeoutMs}, lifecycle);
				return {address: listen.operators};
			},
		});
}

import {type SteeringSettings} from './config/steering-settings.js';
import {type Kernel} from './kernel/kernel.js';
import {DirectoryService} from './services/directory-service.js';
import {HostLoadMonitor} from './services/host-load-monitor.js';
import {serveHttp} from './services/http-service.js';
import {operatorRoutes} from './services/operator-routes.js';
import {Readiness} from './services/readiness.js';
import {steeringHostStatus} from './services/steering-host-status.js';
import {steeringPeerServer} from './services/steering-peer-server.js';
import {SteeringRouter} from './services/steering-router.js';
import {StatusService} from './services/status-service.js';
import {StopService} from './services/stop-service.js';

/** Interval at which the host checks whether it is ready to be listed in the directory. */
const readinessCheckMs = 100;
/** Time for which clients may cache the directory's responses. */
const directoryTtlMs = 1000;
/** Some clients cache a response for up to this multiple of its TTL. */
const cacheTtlFactor = 3;
/** Part of the grace time that is reserved for stopping the services. */
const shutdownReserveMs = 400;
const receiveTimeoutMs = 5000;

/** Adds the services by which clients, peers and operators reach a daemon that serves published routes, and those that stop it. */
export function addSteeringServers(kernel: Kernel, settings: SteeringSettings): void {
	kernel
		.add({
			name: 'directory', requires: ['members', 'steering', 'logger', 'metrics'],
			start: ({get}) => new DirectoryService({
				members: get('members'), steering: get('steering'), logger: get('logger'), metrics: get('metrics'), ttlMs: directoryTtlMs,
			}),
		})
		.add({
			name: 'hostLoad', requires: ['clock', 'logger', 'metrics', 'members', 'ingress', 'instanceClient'], start({get, lifecycle}) {
				const monitor = new HostLoadMonitor({
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					members: get('members'),
					countConnections: () => get('ingress').connections + get('instanceClient').connections,
					maxDescriptors: settings.capacity?.maxDescriptors,
				});
				monitor.start(lifecycle);
				return monitor;
			},
		})
		.add({
			name: 'stop', requires: ['clock', 'logger', 'members', 'proxy', 'ingress', 'quotaSlots'],
			start({get}) {
				const ingress = get('ingress');
				const proxy = get('proxy');
				return new StopService({
					clock: get('clock'),
					logger: get('logger'),
					members: get('members'),
					countRequestsInFlight: () => Math.max(proxy.inFlight, ingress.unanswered),
					onBegin(endMs) {
						get('quotaSlots').drain();
						proxy.finishBy(endMs);
						ingress.closeAfterNextResponse();
					},
					onLookupsExpired() {
						ingress.refuseRequests();
					},
					onWaitEnd() {
						ingress.stopListening();
					},
					graceMs: settings.bounds.graceMs - shutdownReserveMs,
					lookupTtlMs: Math.min(directoryTtlMs * cacheTtlFactor, settings.bounds.graceMs / 2),
				});
			},
		})
		.add({
			name: 'readiness', requires: ['members', 'steering', 'stop'], start({get, lifecycle}) {
				const readiness = new Readiness({members: get('members'), steering: get('steering'), stop: get('stop')});
				lifecycle.every('announcement', readinessCheckMs, () => {
					readiness.clearLeavingWhenReady();
				});
				return readiness;
			},
		})
		.add({
			name: 'status', requires: ['members', 'steering', 'proxy', 'quarantine', 'readiness', 'stop', 'peerClient'],
			start: ({get}) => new StatusService({
				describe: () => steeringHostStatus({
					members: get('members'), steering: get('steering'), proxy: get('proxy'), quarantine: get('quarantine'), readiness: get('readiness'), stop: get('stop'),
				}),
				isReady: () => get('readiness').isReady(),
				members: get('members'),
				peerClient: get('peerClient'),
			}),
		})
		.add({
			name: 'operatorServer', requires: ['metrics', 'status', 'quarantine'], async start({get, lifecycle}) {
				const app = operatorRoutes({metrics: get('metrics'), status: get('status'), quarantine: get('quarantine')});
				await serveHttp(app, {address: settings.listen.metrics, receiveTimeoutMs}, lifecycle);
				return {address: settings.listen.metrics};
			},
		})
		.add({
			name: 'peerServer', requires: ['members', 'quarantine', 'replica', 'planner', 'status', 'quotas'], async start({get, lifecycle}) {
				const router = SteeringRouter.create({
					members: get('members'), quarantine: get('quarantine'), replica: get('replica'), planner: get('planner'), status: get('status'), quotas: get('quotas'),
				});
				await serveHttp(steeringPeerServer(router), {address: settings.listen.peers, receiveTimeoutMs}, lifecycle);
				return {address: settings.listen.peers};
			},
		});
}

import {type HostStatus} from '../contracts/host-status.js';
import {commonHostStatus} from './common-host-status.js';
import {type MembersService} from './members-service.js';
import {type ProxyService} from './proxy-service.js';
import {type QuarantineService} from './quarantine-service.js';
import {type Readiness} from './readiness.js';
import {type SteeringService} from './steering-service.js';
import {type StopService} from './stop-service.js';

type SteeringHost = {
	readonly members: MembersService;
	readonly steering: SteeringService;
	readonly proxy: ProxyService;
	readonly quarantine: QuarantineService;
	readonly readiness: Readiness;
	readonly stop: StopService;
};

/** Returns the status of a host that serves published routes; its `revision` is the version of the routes in force. */
export function steeringHostStatus({
	members, steering, proxy, quarantine, readiness, stop,
}: SteeringHost): HostStatus {
	return {
		...commonHostStatus(members, quarantine),
		revision: steering.routes?.version ?? 0,
		phase: stop.isStopping ? 'stopping' : (readiness.isReady() ? 'serving' : 'starting'),
		requestsInFlight: proxy.inFlight,
		keysUnfinished: 0,
		owns: [],
	};
}

import {type Clock} from '../contracts/clock.js';
import {type HostStatus} from '../contracts/host-status.js';
import {commonHostStatus} from './common-host-status.js';
import {type ConfigService} from './config-service.js';
import {type DispatchService} from './dispatch-service.js';
import {type GatewayService} from './gateway-service.js';
import {type HomeService} from './home-service.js';
import {type MembersService} from './members-service.js';
import {type QuarantineService} from './quarantine-service.js';
import {type StopService} from './stop-service.js';

type GatewayHost = {
	readonly clock: Clock;
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly dispatch: DispatchService;
	readonly gateway: GatewayService;
	readonly home: HomeService;
	readonly quarantine: QuarantineService;
	readonly stop: StopService;
};

/** Returns the status of a host that serves the callers' interface. */
export function gatewayHostStatus({
	members, config, dispatch, gateway, home, quarantine, stop, clock,
}: GatewayHost): HostStatus {
	const nowMs = clock.nowMs();
	const owns = [...dispatch.dispatchers()].map(([service, dispatcher]) => ({
		service,
		queued: dispatcher.queued,
		inFlight: dispatcher.inFlight,
		serviceMs: Math.round(dispatcher.serviceMs * 100) / 100,
		instances: [...dispatcher.instances(nowMs)],
	}));
	const isStarting = config.current === undefined;
	return {
		...commonHostStatus(members, quarantine),
		revision: config.current?.revision ?? 0,
		phase: stop.isStopping ? 'stopping' : (isStarting ? 'starting' : 'serving'),
		requestsInFlight: gateway.inFlight + dispatch.pending,
		keysUnfinished: home.unfinished,
		owns,
	};
}

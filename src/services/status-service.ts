import {type Clock} from '../contracts/clock.js';
import {HostStatus} from '../contracts/host-status.js';
import {type Member} from '../contracts/member.js';
import {type ConfigService} from './config-service.js';
import {type DispatchService} from './dispatch-service.js';
import {type GatewayService} from './gateway-service.js';
import {type HomeService} from './home-service.js';
import {type MembersService} from './members-service.js';
import {type PeerClient} from './peer-client.js';
import {type QuarantineService} from './quarantine-service.js';
import {type StopService} from './stop-service.js';

type StatusOptions = {
	readonly clock: Clock;
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly dispatch: DispatchService;
	readonly gateway: GatewayService;
	readonly home: HomeService;
	readonly quarantine: QuarantineService;
	readonly stop: StopService;
	readonly peerClient: PeerClient;
};

/** What is known of the whole system: the hosts that answered, and the ones that did not. */
type SystemStatus = {readonly hosts: readonly HostStatus[]; readonly silent: readonly string[]};

/** Gathers the state of this host, of its region and, by way of one host in each, of the other regions. */
export class StatusService {
	readonly #options: StatusOptions;

	constructor(options: StatusOptions) {
		this.#options = options;
	}

	/** Whether this host serves callers: it has a configuration and is not stopping. */
	isReady(): boolean {
		return this.#options.config.current !== undefined && !this.#options.members.membership.isLeaving;
	}

	host(): HostStatus {
		const {members, config, dispatch, gateway, home, quarantine, stop, clock} = this.#options;
		const {self} = members.membership;
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
			id: self.id,
			boot: self.boot,
			region: self.region,
			zone: self.zone,
			callers: self.callers,
			revision: config.current?.revision ?? 0,
			phase: stop.isStopping ? 'stopping' : (isStarting ? 'starting' : 'serving'),
			aliveMembers: members.membership.alive().length,
			isConfident: members.isConfident(),
			requestsInFlight: gateway.inFlight + dispatch.pending,
			keysUnfinished: home.unfinished,
			owns,
			quarantined: quarantine.blocked().map(({fingerprint, service, instances}) => ({fingerprint, service, instances: [...instances]})),
		};
	}

	/** State of each host of the region. */
	async region(): Promise<SystemStatus> {
		const {members, peerClient} = this.#options;
		const others = members.membership.alive().filter(member => !members.isSelf(member));
		const answers = await Promise.all(others.map(async member => this.#ask(member, async () => {
			const status = await peerClient.control(member.peers).hostStatus.query();
			return {hosts: [HostStatus.parse(status)], silent: []};
		})));
		return merge([{hosts: [this.host()], silent: []}, ...answers]);
	}

	/** State of each host of each region that can be reached. */
	async system(): Promise<SystemStatus> {
		const {members, peerClient} = this.#options;
		const regions = members.membership.otherRegions();
		const answers = await Promise.all(regions.map(async region => this.#askOneOf(members.membership.hostsOf(region), async member => {
			const status = await peerClient.control(member.peers).regionStatus.query();
			return {hosts: status.hosts.map(host => HostStatus.parse(host)), silent: status.silent};
		}, region)));
		return merge([await this.region(), ...answers]);
	}

	async #askOneOf(candidates: readonly Member[], ask: (member: Member) => Promise<SystemStatus>, region: string): Promise<SystemStatus> {
		for (const member of candidates) {
			const answer = await this.#ask(member, async () => ask(member));
			if (answer.hosts.length > 0) {
				return answer;
			}
		}

		return {hosts: [], silent: [`region ${region}`]};
	}

	async #ask(member: Member, ask: () => Promise<SystemStatus>): Promise<SystemStatus> {
		try {
			return await ask();
		} catch {
			return {hosts: [], silent: [member.id]};
		}
	}
}

function merge(parts: readonly SystemStatus[]): SystemStatus {
	return {hosts: parts.flatMap(part => part.hosts), silent: parts.flatMap(part => part.silent)};
}

import {HostStatus} from '../contracts/host-status.js';
import {type Member} from '../contracts/member.js';
import {type MembersService} from './members-service.js';
import {type PeerClient} from './peer-client.js';

type StatusOptions = {
	/** State of this host. */
	readonly describe: () => HostStatus;
	/** Whether this host serves callers: it has a configuration, and is neither stopping nor drained. */
	readonly isReady: () => boolean;
	readonly members: MembersService;
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

	/** Whether this host serves callers. */
	isReady(): boolean {
		return this.#options.isReady();
	}

	/** State of this host. */
	host(): HostStatus {
		return this.#options.describe();
	}

	/** State of the hosts of a scope: `host`, `region`, or the whole system for any other word. */
	async of(scope: string): Promise<SystemStatus> {
		switch (scope) {
			case 'host': {
				return {hosts: [this.host()], silent: []};
			}

			case 'region': {
				return this.region();
			}

			default: {
				return this.system();
			}
		}
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

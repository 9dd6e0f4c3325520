import {HostStatus} from '../contracts/host-status.js';
import {type Member} from '../contracts/member.js';
import {type MembersService} from './members-service.js';
import {type PeerClient} from './peer-client.js';

type StatusOptions = {
	/** Returns the status of this host. */
	readonly describe: () => HostStatus;
	/** Whether this host accepts requests: it has a configuration, is not stopping, and is not drained (gateway) or has a reliable membership view (steering daemon). */
	readonly isReady: () => boolean;
	readonly members: MembersService;
	readonly peerClient: PeerClient;
};

/** Status of a scope: that of the hosts that responded, and the ids of hosts and names of regions that did not respond. */
type ScopeStatus = {readonly hosts: readonly HostStatus[]; readonly silent: readonly string[]};

/** Collects the status of this host, of its region, and of the other regions through one host in each of them. */
export class StatusService {
	readonly #options: StatusOptions;

	constructor(options: StatusOptions) {
		this.#options = options;
	}

	/** Whether this host accepts requests. */
	isReady(): boolean {
		return this.#options.isReady();
	}

	/** Returns the status of this host. */
	host(): HostStatus {
		return this.#options.describe();
	}

	/** Returns the status of a scope: `host`, `region`, or the whole system for any other value. */
	async of(scope: string): Promise<ScopeStatus> {
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

	/** Returns the status of each host of the region. */
	async region(): Promise<ScopeStatus> {
		const {members, peerClient} = this.#options;
		const others = members.membership.alive().filter(member => !members.isSelf(member));
		const statuses = await Promise.all(others.map(async member => this.#query(member, async () => {
			const status = await peerClient.control(member.peers).hostStatus.query();
			return {hosts: [HostStatus.parse(status)], silent: []};
		})));
		return merge([{hosts: [this.host()], silent: []}, ...statuses]);
	}

	/** Returns the status of each host of each region that can be reached. */
	async system(): Promise<ScopeStatus> {
		const {members, peerClient} = this.#options;
		const regions = members.membership.otherRegions();
		const statuses = await Promise.all(regions.map(async region => this.#queryAny(members.membership.hostsOf(region), async member => {
			const status = await peerClient.control(member.peers).regionStatus.query();
			return {hosts: status.hosts.map(host => HostStatus.parse(host)), silent: status.silent};
		}, region)));
		return merge([await this.region(), ...statuses]);
	}

	async #queryAny(candidates: readonly Member[], query: (member: Member) => Promise<ScopeStatus>, region: string): Promise<ScopeStatus> {
		for (const member of candidates) {
			const status = await this.#query(member, async () => query(member));
			if (status.hosts.length > 0) {
				return status;
			}
		}

		return {hosts: [], silent: [`region ${region}`]};
	}

	async #query(member: Member, query: () => Promise<ScopeStatus>): Promise<ScopeStatus> {
		try {
			return await query();
		} catch {
			return {hosts: [], silent: [member.id]};
		}
	}
}

function merge(parts: readonly ScopeStatus[]): ScopeStatus {
	return {hosts: parts.flatMap(part => part.hosts), silent: parts.flatMap(part => part.silent)};
}

import {type MembersService} from './members-service.js';

type DirectoryOptions = {
	readonly members: MembersService;
	/** Time for which clients may cache a result. */
	readonly ttlMs: number;
};

type DirectoryResult = {readonly addresses: readonly string[]; readonly ttlMs: number};

/** Limit of addresses in one result. */
const maxAddresses = 64;
/** With fewer hosts than this in the client's zone, the region's other hosts are returned as well. */
const minZoneHosts = 2;

/**
 * Resolves the hosts that a client may use: the members of this host's region that are alive and not leaving. Only hosts in the
 * client's zone are returned if there are enough of them. Other regions are left out, because dead hosts are
 * detected fast enough only in this host's own region.
 */
export class DirectoryService {
	readonly #options: DirectoryOptions;

	constructor(options: DirectoryOptions) {
		this.#options = options;
	}

	/** Returns the addresses for a client in a zone; empty if no host is known to be serving. */
	resolve(zone: string | undefined): DirectoryResult {
		const {members, ttlMs} = this.#options;
		const hosts = members.membership.candidates();
		const zoneHosts = hosts.filter(host => host.zone === zone);
		const chosen = zoneHosts.length >= minZoneHosts ? zoneHosts : hosts;
		return {addresses: chosen.slice(0, maxAddresses).map(host => host.callers), ttlMs};
	}
}

import {type MembersService} from './members-service.js';

type DirectoryOptions = {
	readonly members: MembersService;
	/** Time for which callers may cache an answer, in milliseconds. */
	readonly ttlMs: number;
};

type DirectoryAnswer = {readonly addresses: readonly string[]; readonly ttlMs: number};

/** Hosts named in one answer. */
const maxAddresses = 64;
/** A zone with fewer hosts than this is helped out by the region's others. */
const minZoneHosts = 2;

/**
 * Tells clients which hosts to use: those of this host's region that are alive and stay, the client's own zone first.
 * Only the own region's membership is watched closely enough to name no dead host.
 */
export class DirectoryService {
	readonly #options: DirectoryOptions;

	constructor(options: DirectoryOptions) {
		this.#options = options;
	}

	/** Addresses for a client of a zone; empty when no host is known to be serving. */
	resolve(zone: string | undefined): DirectoryAnswer {
		const {members, ttlMs} = this.#options;
		const hosts = members.membership.staying();
		const near = hosts.filter(host => host.zone === zone);
		const chosen = near.length >= minZoneHosts ? near : hosts;
		return {addresses: chosen.slice(0, maxAddresses).map(host => host.callers), ttlMs};
	}
}

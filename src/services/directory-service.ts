import {type HostSize} from '../contracts/host-size.js';
import {type Member} from '../contracts/member.js';
import {hostCapacities} from '../decisions/host-capacities.js';
import {HostSelection} from '../decisions/host-selection.js';
import {memberKey} from '../decisions/member-key.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type SteeringService} from './steering-service.js';

type DirectoryOptions = {
	readonly members: {readonly membership: Pick<MembersService['membership'], 'candidates' | 'busyLevelOf'>};
	readonly steering: Pick<SteeringService, 'hosts' | 'hostsByRegion'>;
	readonly logger: Pick<Logger, 'limited'>;
	readonly metrics: Pick<Metrics, 'count'>;
	/** Time for which clients may cache a result. */
	readonly ttlMs: number;
};

type DirectoryResult = {readonly addresses: readonly string[]; readonly ttlMs: number};
type RatedMember = {readonly id: string; readonly member: Member; readonly share: number; readonly capacity: number};
type Selections = {
	/** Lists from which the selections were made; a change of their contents replaces them. */
	readonly candidates: readonly Member[];
	readonly hostsByRegion: ReadonlyMap<string, number>;
	readonly byZone: ReadonlyMap<string, HostSelection<RatedMember>>;
};

/** Limit of addresses in one result. */
const maxAddresses = 64;
/** With fewer hosts than this in the client's zone, the region's other hosts are returned as well. */
const minZoneHosts = 2;

/**
 * Resolves the hosts that a client may use: the members of this host's region that are alive and not leaving. Only hosts in the
 * client's zone are returned if there are enough of them, and if they differ in size, a selection by their capacity. Other regions
 * are left out, because dead hosts are detected fast enough only in this host's own region.
 */
export class DirectoryService {
	readonly #options: DirectoryOptions;
	/** Latest logged shares by zone, as text. */
	readonly #loggedShares = new Map<string, string>();
	/** Sizes of the candidates when the selections were made, by host. */
	#sizes: ReadonlyMap<string, HostSize | undefined> = new Map();
	#selections: Selections | undefined;

	constructor(options: DirectoryOptions) {
		this.#options = options;
	}

	/**
	 * Returns the addresses for a client in a zone; empty if no host is known to be serving. A client with the same address gets the same
	 * hosts from all hosts with the same view of the region.
	 */
	resolve(zone: string | undefined, clientAddress: string): DirectoryResult {
		const {members, metrics, ttlMs} = this.#options;
		const hosts = members.membership.candidates();
		const selection = this.#selectionsOf(hosts).get(zone ?? '');
		metrics.count('directory_answers', {selection: selection === undefined ? 'region' : (selection.isWeighted ? 'by_capacity' : 'zone')});
		const chosen = selection === undefined ? hosts.slice(0, maxAddresses) : selection.select(clientAddress).map(({member}) => member);
		return {addresses: chosen.map(({callers}) => callers), ttlMs};
	}

	/** Returns the selections by zone, for the zones with enough hosts. */
	#selectionsOf(candidates: readonly Member[]): Selections['byZone'] {
		const {members, steering} = this.#options;
		const hostsByRegion = steering.hostsByRegion();
		if (this.#selections?.candidates !== candidates || this.#selections.hostsByRegion !== hostsByRegion) {
			// An entry may vanish while its host serves, when the store is restored or turns the host away; its size stays as it was.
			this.#sizes = new Map(candidates.map(({id}) => [id, steering.hosts.has(id) ? steering.hosts.get(id)!.size : this.#sizes.get(id)]));
			const capacities = hostCapacities(candidates.map(member => ({
				size: this.#sizes.get(member.id), busyLevel: members.membership.busyLevelOf(memberKey(member)),
			})));
			const rated = candidates.map((member, index) => ({id: member.id, member, ...capacities[index]!}));
			const zones = [...new Set(candidates.map(({zone}) => zone))].map(zone => [zone, rated.filter(({member}) => member.zone === zone)] as const);
			const byZone = new Map(zones.filter(([, hosts]) => hosts.length >= minZoneHosts).map(([zone, hosts]) => [zone, new HostSelection(hosts, maxAddresses)]));
			this.#selections = {candidates, hostsByRegion, byZone};
			this.#logShares(byZone);
		}

		return this.#selections.byZone;
	}

	/** Logs the share of the answers that name each host of a zone when it has changed. The zones are those of the region's hosts, so that they are few. */
	#logShares(byZone: Selections['byZone']): void {
		for (const [zone, selection] of byZone) {
			const shares = Object.fromEntries(selection.hosts.map(({id}, index) => [id, Math.round(selection.shares[index]! * 100) / 100]));
			const text = JSON.stringify(shares);
			const isChanged = this.#loggedShares.get(zone) !== text && (selection.isWeighted || this.#loggedShares.has(zone));
			if (isChanged) {
				this.#loggedShares.set(zone, text);
				this.#options.logger.limited('the directory names hosts by their capacity', {zone, addresses: Math.round(selection.meanSize * 10) / 10, shares});
			}
		}
	}
}

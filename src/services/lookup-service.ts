import {type Member} from '../contracts/member.js';
import {type DeploymentFile} from '../config/deployment-file.js';
import {type Configuration} from '../config/configuration.js';
import {ClientBlocks} from '../decisions/client-blocks.js';
import {parseIpv4} from '../decisions/parse-ipv4.js';
import {type ConfigService} from './config-service.js';
import {type HomeService} from './home-service.js';
import {type MembersService} from './members-service.js';

type LookupOptions = {
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly home: HomeService;
	/** Time for which callers may cache a response, in milliseconds. */
	readonly ttlMs: number;
};

type LookupHost = {readonly address: string; readonly region: string; readonly zone: string};

/** Response to a lookup, as callers receive it. */
type LookupResponse = {
	readonly service: string;
	/** Entry hosts in the order in which to try them. */
	readonly hosts: readonly LookupHost[];
	/** Time for which the response may be cached, in milliseconds. */
	readonly ttlMs: number;
	/** Token from which callers make idempotency keys; absent while this host has no open token. */
	readonly token: string | undefined;
	readonly revision: number;
};

/** Maximum number of hosts of the caller's region, and of each other region, in one response. */
const maxLocalHosts = 4;
const maxHostsPerOtherRegion = 2;

/** Selects the entry hosts for a caller, using only data in memory. */
export class LookupService {
	readonly #options: LookupOptions;
	/** Usable hosts by region; `undefined` after the membership view or the configuration has changed. */
	#hosts: ReadonlyMap<string, readonly LookupHost[]> | undefined;
	#blocks = ClientBlocks.build([]);
	#siteRegions: readonly string[] = [];
	#rotation = 0;
	#deployment: DeploymentFile | undefined;

	constructor(options: LookupOptions) {
		this.#options = options;
		const invalidate = () => {
			this.#hosts = undefined;
		};

		options.members.onChange(invalidate);
		options.config.onChange(cfg => {
			invalidate();
			this.#updateSites(cfg);
		});
	}

	/** Returns the entry hosts for a caller of a service; `undefined` if the service is unknown. */
	lookup(service: string, caller: string): LookupResponse | undefined {
		const {config, home, ttlMs} = this.#options;
		const cfg = config.current;
		if (cfg?.service(service) === undefined) {
			return undefined;
		}

		this.#hosts ??= this.#hostsByRegion();
		const region = this.#regionOf(caller);
		const localHosts = this.#hosts.get(region) ?? [];
		// Rotates per lookup rather than per caller address, because many callers can share one address.
		this.#rotation++;
		const first = localHosts.length === 0 ? 0 : this.#rotation % localHosts.length;
		const rotated = [...localHosts.slice(first), ...localHosts.slice(0, first)].slice(0, maxLocalHosts);
		const remoteHosts = [...this.#hosts].flatMap(([name, hosts]) => (name === region ? [] : hosts.slice(0, maxHostsPerOtherRegion)));
		return {
			service, hosts: [...rotated, ...remoteHosts], ttlMs, token: home.token, revision: cfg.revision,
		};
	}

	/** Returns the region of the caller's site, or this host's region if the site is unknown. */
	#regionOf(caller: string): string {
		const localRegion = this.#options.members.membership.self.region;
		const address = this.#siteRegions.length === 0 ? undefined : parseIpv4(caller);
		const site = address === undefined ? undefined : this.#blocks.siteOf(address);
		return site === undefined ? localRegion : this.#siteRegions[site] ?? localRegion;
	}

	#updateSites(cfg: Configuration): void {
		const {deployment} = cfg.publication;
		if (deployment === this.#deployment) {
			return;
		}

		this.#deployment = deployment;
		const {sites} = deployment;
		this.#siteRegions = sites.map(site => site.region);
		this.#blocks = ClientBlocks.build(sites.flatMap((site, index) => site.blocks.map(text => {
			const [address = '', length = ''] = text.split('/');
			const size = 2 ** (32 - Number(length));
			return {start: Math.floor((parseIpv4(address) ?? 0) / size) * size, length: Number(length), site: index};
		})));
	}

	#hostsByRegion(): ReadonlyMap<string, readonly LookupHost[]> {
		const {members, config} = this.#options;
		const {membership} = members;
		const isUsable = (member: Member) => config.current?.isDrained('host', member.id) !== true
			&& config.current?.isDrained('zone', member.zone) !== true
			&& config.current?.isDrained('region', member.region) !== true;
		const byRegion = new Map<string, readonly LookupHost[]>();
		byRegion.set(membership.self.region, membership.candidates().filter(member => isUsable(member)).map(member => toHost(member)));
		for (const region of membership.otherRegions().toSorted()) {
			byRegion.set(region, membership.hostsOf(region).filter(member => isUsable(member)).map(member => toHost(member)));
		}

		return byRegion;
	}
}

function toHost(member: Member): LookupHost {
	return {address: member.callers, region: member.region, zone: member.zone};
}

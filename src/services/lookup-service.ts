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
	/** Time for which callers may cache an answer, in milliseconds. */
	readonly ttlMs: number;
};

type LookupHost = {readonly address: string; readonly region: string; readonly zone: string};

/** Answer of a look-up, as callers receive it. */
type LookupAnswer = {
	readonly service: string;
	/** Entry hosts in the order in which to try them. */
	readonly hosts: readonly LookupHost[];
	/** Time for which the answer may be cached, in milliseconds. */
	readonly ttlMs: number;
	/** Token from which idempotency keys are made; absent while this host has none to give. */
	readonly token: string | undefined;
	readonly revision: number;
};

/** Hosts of the caller's region, and of each other region, in one answer. */
const nearHosts = 4;
const farHosts = 2;

/** Answers which entry hosts a caller should use, from memory alone. */
export class LookupService {
	readonly #options: LookupOptions;
	/** Order of the hosts, until the view or the configuration changes. */
	#hosts: ReadonlyMap<string, readonly LookupHost[]> | undefined;
	#blocks = ClientBlocks.build([]);
	#siteRegions: readonly string[] = [];
	#turn = 0;
	#deployment: DeploymentFile | undefined;

	constructor(options: LookupOptions) {
		this.#options = options;
		const forget = () => {
			this.#hosts = undefined;
		};

		options.members.onChange(forget);
		options.config.onChange(cfg => {
			forget();
			this.#takeSites(cfg);
		});
	}

	/** Hosts for a service's callers; `undefined` when the service is not known. */
	lookup(service: string, caller: string): LookupAnswer | undefined {
		const {config, home, ttlMs} = this.#options;
		const cfg = config.current;
		if (cfg?.service(service) === undefined) {
			return undefined;
		}

		this.#hosts ??= this.#hostsByRegion();
		const region = this.#regionOf(caller);
		const near = this.#hosts.get(region) ?? [];
		// Answers take turns: callers behind one address are many.
		this.#turn++;
		const first = near.length === 0 ? 0 : this.#turn % near.length;
		const rotated = [...near.slice(first), ...near.slice(0, first)].slice(0, nearHosts);
		const far = [...this.#hosts].flatMap(([name, hosts]) => (name === region ? [] : hosts.slice(0, farHosts)));
		return {
			service, hosts: [...rotated, ...far], ttlMs, token: home.token, revision: cfg.revision,
		};
	}

	/** Region that serves a caller first: its site's, or else this host's. */
	#regionOf(caller: string): string {
		const own = this.#options.members.membership.self.region;
		const address = this.#siteRegions.length === 0 ? undefined : parseIpv4(caller);
		const site = address === undefined ? undefined : this.#blocks.siteOf(address);
		return site === undefined ? own : this.#siteRegions[site] ?? own;
	}

	#takeSites(cfg: Configuration): void {
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
		byRegion.set(membership.self.region, membership.staying().filter(member => isUsable(member)).map(member => toHost(member)));
		for (const region of membership.otherRegions().toSorted()) {
			byRegion.set(region, membership.hostsOf(region).filter(member => isUsable(member)).map(member => toHost(member)));
		}

		return byRegion;
	}
}

function toHost(member: Member): LookupHost {
	return {address: member.callers, region: member.region, zone: member.zone};
}

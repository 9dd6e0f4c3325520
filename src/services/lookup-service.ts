import {type Member} from '../contracts/member.js';
import {hashText} from '../decisions/hash-text.js';
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

/** Hosts of the own region, and of each other region, in one answer. */
const ownHosts = 4;
const foreignHosts = 2;

/** Answers which entry hosts a caller should use, from memory alone. */
export class LookupService {
	readonly #options: LookupOptions;
	/** Order of the hosts, until the view or the configuration changes. */
	#hosts: {readonly own: readonly LookupHost[]; readonly foreign: readonly LookupHost[]} | undefined;

	constructor(options: LookupOptions) {
		this.#options = options;
		const forget = () => {
			this.#hosts = undefined;
		};

		options.members.onChange(forget);
		options.config.onChange(forget);
	}

	/** Hosts for a service's callers; `undefined` when the service is not known. */
	lookup(service: string, caller: string): LookupAnswer | undefined {
		const {config, home, ttlMs} = this.#options;
		const cfg = config.current;
		if (cfg?.service(service) === undefined) {
			return undefined;
		}

		this.#hosts ??= this.#orderHosts();
		const {own, foreign} = this.#hosts;
		const first = own.length === 0 ? 0 : hashText(caller) % own.length;
		const rotated = [...own.slice(first), ...own.slice(0, first)].slice(0, ownHosts);
		return {
			service, hosts: [...rotated, ...foreign], ttlMs, token: home.token, revision: cfg.revision,
		};
	}

	#orderHosts(): {own: LookupHost[]; foreign: LookupHost[]} {
		const {members, config} = this.#options;
		const {membership} = members;
		const isUsable = (member: Member) => config.current?.isDrained('host', member.id) !== true
			&& config.current?.isDrained('zone', member.zone) !== true
			&& config.current?.isDrained('region', member.region) !== true;
		const own = membership.staying().filter(member => isUsable(member));
		const foreign = membership.otherRegions().toSorted().flatMap(region => membership.hostsOf(region).filter(member => isUsable(member)).slice(0, foreignHosts));
		return {own: own.map(member => toHost(member)), foreign: foreign.map(member => toHost(member))};
	}
}

function toHost(member: Member): LookupHost {
	return {address: member.callers, region: member.region, zone: member.zone};
}

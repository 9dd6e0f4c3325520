import {type Clock} from '../contracts/clock.js';
import {Grant} from '../contracts/grant.js';
import {type Member} from '../contracts/member.js';
import {type Outcome} from '../contracts/outcome.js';
import {type CreditBalance} from '../decisions/credit-balance.js';
import {memberKey} from '../decisions/member-key.js';
import {rendezvousOrder} from '../decisions/rendezvous-order.js';
import {type ConfigService} from './config-service.js';
import {type Job} from './job.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';

type ShiftOptions = {
	readonly clock: Clock;
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly peerClient: PeerClient;
	readonly metrics: Metrics;
};

/** Limits for one service on the link to another region. */
type LinkBudget = {readonly shiftCapPerSecond: number; readonly bytesPerSecond: number};

const bitsPerMegabit = 1_000_000;
const bitsPerByte = 8;
/** Time after which a region that did not respond is used again. */
const failedRegionRetryMs = 5000;

/** Requests credits from other regions and sends requests there against these credits (cross-region shift). */
export class ShiftService {
	readonly #options: ShiftOptions;
	/** Time of the last failed call to each region, in monotonic milliseconds. */
	readonly #lastFailureMs = new Map<string, number>();

	constructor(options: ShiftOptions) {
		this.#options = options;
	}

	/** Returns the other regions that have instances of a service, are not drained and are reachable. */
	reachableRegionsFor(service: string): string[] {
		const {config, members, clock} = this.#options;
		const cfg = config.current;
		const localRegion = members.membership.self.region;
		const nowMs = clock.nowMs();
		const regions = new Set(cfg?.service(service)?.places.map(place => place.region));
		return [...regions].filter(region => region !== localRegion
			&& cfg?.isDrained('region', region) !== true
			&& this.linkBudget(region) !== undefined
			&& members.membership.hostsOf(region).length > 0
			&& nowMs - (this.#lastFailureMs.get(region) ?? Number.NEGATIVE_INFINITY) > failedRegionRetryMs);
	}

	/**
	 * Returns the limits for one service on the link to a region, which all services share equally; `undefined` without
	 * such a link.
	 */
	linkBudget(region: string): LinkBudget | undefined {
		const {config, members} = this.#options;
		const publication = config.current?.publication;
		const localRegion = members.membership.self.region;
		const link = publication?.deployment.links.find(item => item.between.includes(region) && item.between.includes(localRegion));
		if (publication === undefined || link === undefined) {
			return undefined;
		}

		const serviceCount = Math.max(1, Object.keys(publication.services).length);
		const bytesPerSecond = (link.mbitPerSecond * bitsPerMegabit * link.workShare) / bitsPerByte / serviceCount;
		return {shiftCapPerSecond: link.shiftCapPerSecond / serviceCount, bytesPerSecond};
	}

	/**
	 * Requests credits from the owner of a service in another region and adds them to `creditBalance`; discards the region's credits
	 * if the call fails.
	 */
	async requestCredits(service: string, region: string, want: number, creditBalance: CreditBalance): Promise<void> {
		const {clock, peerClient, members, metrics} = this.#options;
		const target = this.#entryHost(service, region);
		if (target === undefined) {
			return;
		}

		const requestedMs = clock.nowMs();
		try {
			const response = await peerClient.control(target.peers).grant.mutate({
				service, from: members.membership.self.region, want, isRelayed: false,
			});
			const grant = Grant.parse(response);
			metrics.count('credits_received', {region}, grant.requests);
			creditBalance.add(region, grant, requestedMs);
		} catch {
			this.#lastFailureMs.set(region, clock.nowMs());
			creditBalance.discard(region);
		}
	}

	/** Sends a request to another region and returns its outcome. */
	async send(region: string, job: Job): Promise<Outcome> {
		const {clock, peerClient, metrics} = this.#options;
		const target = this.#entryHost(job.head.service, region);
		if (target === undefined) {
			return {
				kind: 'not-run', reason: 'peer_unreachable', detail: `no host in region ${region} is known`, retryAfterMs: 0,
			};
		}

		metrics.count('requests_shifted', {region});
		const remainingMs = job.deadlineMs - clock.nowMs();
		const result = await peerClient.forward({address: target.peers, role: 'region'}, {...job.head, remainingMs}, job.body, job.signal);
		switch (result.kind) {
			case 'outcome': {
				return result.outcome;
			}

			case 'not_sent': {
				this.#lastFailureMs.set(region, clock.nowMs());
				return {
					kind: 'not-run', reason: 'peer_unreachable', detail: result.detail, retryAfterMs: 0,
				};
			}

			case 'lost': {
				return {kind: 'unknown', reason: job.signal.aborted ? 'cancelled' : 'host_lost', detail: result.detail};
			}
		}
	}

	/** Returns the host of a region that receives this region's calls for a service; with few hosts it is the owner itself. */
	#entryHost(service: string, region: string): Member | undefined {
		return rendezvousOrder(service, this.#options.members.membership.hostsOf(region), memberKey)[0];
	}
}

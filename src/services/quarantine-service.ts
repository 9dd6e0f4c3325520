import {type Clock} from '../contracts/clock.js';
import {type Member} from '../contracts/member.js';
import {Quarantine} from '../decisions/quarantine.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';

type QuarantineOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly members: MembersService;
	readonly peerClient: PeerClient;
};

type StrikeNews = {readonly fingerprint: string; readonly service: string; readonly instances: string[]; readonly isCleared: boolean; readonly isRelayed: boolean};

/** Longest wait for other hosts to hear of a strike, in milliseconds. */
const spreadTimeoutMs = 400;

/** Shares what is held against requests that break upstreams with all hosts, before the request may run again. */
export class QuarantineService {
	readonly #options: QuarantineOptions;
	readonly #quarantine = new Quarantine();

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	isBlocked(fingerprint: string): boolean {
		return this.#quarantine.isBlocked(fingerprint, this.#options.clock.nowMs());
	}

	/** Instances that the request has broken so far. */
	brokenBy(fingerprint: string): readonly string[] {
		return this.#quarantine.brokenBy(fingerprint);
	}

	/** Requests refused now. */
	blocked(): ReturnType<Quarantine['blocked']> {
		return this.#quarantine.blocked(this.#options.clock.nowMs());
	}

	/** Holds a broken instance against a request and waits until the other hosts know, within bounds. */
	async strike(fingerprint: string, service: string, instanceId: string): Promise<void> {
		const {clock, logger, metrics} = this.#options;
		metrics.count('upstream_crash_signs', {service});
		if (!this.#quarantine.strike(fingerprint, service, [instanceId], clock.nowMs())) {
			return;
		}

		if (this.isBlocked(fingerprint)) {
			logger.warn('request quarantined: it broke several upstreams', {fingerprint, service, instances: this.brokenBy(fingerprint)});
		}

		await this.#spread({
			fingerprint, service, instances: [...this.brokenBy(fingerprint)], isCleared: false, isRelayed: false,
		});
	}

	/** Clears a request that was answered whole. */
	clearAnswered(fingerprint: string, service: string): void {
		if (this.#quarantine.clear(fingerprint)) {
			void this.#spread({
				fingerprint, service, instances: [], isCleared: true, isRelayed: false,
			});
		}
	}

	/** Lifts a quarantine on an operator's word; answers whether there was one. */
	async lift(fingerprint: string): Promise<boolean> {
		const wasHeld = this.#quarantine.clear(fingerprint);
		await this.#spread({
			fingerprint, service: '', instances: [], isCleared: true, isRelayed: false,
		});
		return wasHeld;
	}

	/** Takes in news from another host and passes it on in the region when it came from another one. */
	async hear(news: StrikeNews): Promise<void> {
		if (news.isCleared) {
			this.#quarantine.clear(news.fingerprint);
		} else {
			this.#quarantine.strike(news.fingerprint, news.service, news.instances, this.#options.clock.nowMs());
		}

		if (news.isRelayed) {
			await this.#tell(this.#regionPeers(), {...news, isRelayed: false});
		}
	}

	async #spread(news: StrikeNews): Promise<void> {
		const {membership} = this.#options.members;
		const gateways = membership.otherRegions().flatMap(region => membership.hostsOf(region).slice(0, 1));
		await Promise.all([this.#tell(this.#regionPeers(), news), this.#tell(gateways, {...news, isRelayed: true})]);
	}

	#regionPeers(): Member[] {
		const {members} = this.#options;
		return members.membership.alive().filter(member => !members.isSelf(member));
	}

	async #tell(peers: readonly Member[], news: StrikeNews): Promise<void> {
		const calls = peers.map(async peer => {
			try {
				await this.#options.peerClient.control(peer.peers).strike.mutate(news);
			} catch {
				this.#options.metrics.count('strike_news_lost');
			}
		});
		const timeout = new Promise<void>(resolve => {
			setTimeout(resolve, spreadTimeoutMs).unref();
		});
		await Promise.race([Promise.all(calls), timeout]);
	}
}

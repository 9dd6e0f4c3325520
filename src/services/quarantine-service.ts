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

type CrashReport = {readonly fingerprint: string; readonly service: string; readonly instances: string[]; readonly isCleared: boolean; readonly isRelayed: boolean};

/** Timeout for sending a crash report to other hosts. */
const broadcastTimeoutMs = 400;

/** Shares crash reports of requests with all hosts before such a request may run again, and determines which requests are quarantined. */
export class QuarantineService {
	readonly #options: QuarantineOptions;
	readonly #quarantine = new Quarantine();

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	isBlocked(fingerprint: string): boolean {
		return this.#quarantine.isBlocked(fingerprint, this.#options.clock.nowMs());
	}

	/** Returns the instances that were lost while they ran the request. */
	lostInstances(fingerprint: string): readonly string[] {
		return this.#quarantine.lostInstances(fingerprint);
	}

	/** Returns the requests that are refused at present. */
	blocked(): ReturnType<Quarantine['blocked']> {
		return this.#quarantine.blocked(this.#options.clock.nowMs());
	}

	/** Records that an instance was lost while it ran a request, and waits until the other hosts have received the report or a timeout has passed. */
	async reportCrash(fingerprint: string, service: string, instanceId: string): Promise<void> {
		const {clock, logger, metrics} = this.#options;
		metrics.count('upstream_crash_signs', {service});
		if (!this.#quarantine.recordCrash(fingerprint, service, [instanceId], clock.nowMs())) {
			return;
		}

		if (this.isBlocked(fingerprint)) {
			logger.warn('request quarantined: several upstreams were lost while they ran it', {fingerprint, service, instances: this.lostInstances(fingerprint)});
		}

		await this.#broadcast({
			fingerprint, service, instances: [...this.lostInstances(fingerprint)], isCleared: false, isRelayed: false,
		});
	}

	/** Clears a request after a complete response. */
	clearAfterResponse(fingerprint: string, service: string): void {
		if (this.#quarantine.clear(fingerprint)) {
			void this.#broadcast({
				fingerprint, service, instances: [], isCleared: true, isRelayed: false,
			});
		}
	}

	/** Clears a request on behalf of an operator; returns whether any crash report was recorded for it. */
	async lift(fingerprint: string): Promise<boolean> {
		const wasHeld = this.#quarantine.clear(fingerprint);
		await this.#broadcast({
			fingerprint, service: '', instances: [], isCleared: true, isRelayed: false,
		});
		return wasHeld;
	}

	/** Merges a crash report from another host, and relays it within the region if it was sent by another region. */
	async receiveCrashReport(report: CrashReport): Promise<void> {
		if (report.isCleared) {
			this.#quarantine.clear(report.fingerprint);
		} else {
			this.#quarantine.recordCrash(report.fingerprint, report.service, report.instances, this.#options.clock.nowMs());
		}

		if (report.isRelayed) {
			await this.#sendTo(this.#regionPeers(), {...report, isRelayed: false});
		}
	}

	async #broadcast(report: CrashReport): Promise<void> {
		const {membership} = this.#options.members;
		const relays = membership.otherRegions().flatMap(region => membership.hostsOf(region).slice(0, 1));
		await Promise.all([this.#sendTo(this.#regionPeers(), report), this.#sendTo(relays, {...report, isRelayed: true})]);
	}

	#regionPeers(): Member[] {
		const {members} = this.#options;
		return members.membership.alive().filter(member => !members.isSelf(member));
	}

	async #sendTo(peers: readonly Member[], report: CrashReport): Promise<void> {
		const calls = peers.map(async peer => {
			this.#options.metrics.count('crash_report_calls');
			try {
				await this.#options.peerClient.control(peer.peers).strike.mutate(report);
			} catch {
				this.#options.metrics.count('strike_news_lost');
			}
		});
		const timeout = new Promise<void>(resolve => {
			setTimeout(resolve, broadcastTimeoutMs).unref();
		});
		await Promise.race([Promise.all(calls), timeout]);
	}
}

import {setTimeout as delay} from 'node:timers/promises';
import {type Configuration} from '../config/configuration.js';
import {type Clock} from '../contracts/clock.js';
import {type ConfigService} from './config-service.js';
import {type DispatchService} from './dispatch-service.js';
import {type GatewayService} from './gateway-service.js';
import {type HomeService} from './home-service.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';

type StopOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly gateway: GatewayService;
	readonly dispatch: DispatchService;
	readonly home: HomeService;
	/** Longest time for a planned stop, in milliseconds. */
	readonly graceMs: number;
	/** Time for which callers may still have this host in a cached look-up answer, in milliseconds. */
	readonly lookupTtlMs: number;
};

const pollMs = 50;
/** Time without any request after which nothing more is expected, in milliseconds. */
const quietMs = 300;
/** Time for the last word to reach the other hosts, in milliseconds. */
const farewellMs = 100;

/**
 * Planned stop: the host leaves the look-up answers, hands over what it owns, serves until the cached answers
 * have expired and its last request is answered, and only then ends.
 */
export class StopService {
	readonly #options: StopOptions;
	#isStopping = false;

	constructor(options: StopOptions) {
		this.#options = options;
		options.config.onChange(cfg => {
			this.#followDrain(cfg);
		});
	}

	get isStopping(): boolean {
		return this.#isStopping;
	}

	/** Carries out the stop; answers the number of requests that it cut, which is 0 unless the time ran out. */
	async stop(): Promise<number> {
		const {members, logger, clock, graceMs, lookupTtlMs} = this.#options;
		this.#isStopping = true;
		const startMs = clock.nowMs();
		logger.info('planned stop begins', {requestsInFlight: this.#remaining()});
		members.run(members.membership.setLeaving(true));
		await this.#waitUntil(startMs + lookupTtlMs, startMs + graceMs);
		const cut = this.#remaining();
		members.run(members.membership.leave());
		await delay(farewellMs);
		logger.info('planned stop ends', {tookMs: Math.round(clock.nowMs() - startMs), requestsCut: cut});
		return cut;
	}

	/** A host that operators drained, or whose zone or region they did, leaves as for a stop, and comes back when they undo it. */
	#followDrain(cfg: Configuration): void {
		const {members, logger} = this.#options;
		const {membership} = members;
		const {id, zone, region} = membership.self;
		const isDrained = cfg.isDrained('host', id) || cfg.isDrained('zone', zone) || cfg.isDrained('region', region);
		if (!this.#isStopping && isDrained !== membership.isLeaving) {
			logger.info(isDrained ? 'drained by operators' : 'brought back by operators');
			members.run(membership.setLeaving(isDrained));
		}
	}

	/** Waits until nothing was left for a while, from the earliest moment on, but not beyond the latest. */
	async #waitUntil(earliestMs: number, latestMs: number): Promise<void> {
		const {clock} = this.#options;
		let quietSinceMs = clock.nowMs();
		while (clock.nowMs() < latestMs) {
			const nowMs = clock.nowMs();
			if (this.#remaining() > 0) {
				quietSinceMs = nowMs;
			}

			if (nowMs >= earliestMs && nowMs - quietSinceMs >= quietMs) {
				return;
			}

			await delay(pollMs);
		}
	}

	#remaining(): number {
		const {gateway, dispatch, home} = this.#options;
		return gateway.inFlight + dispatch.pending + home.unfinished;
	}
}

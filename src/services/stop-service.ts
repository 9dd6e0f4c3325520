import {setTimeout as delay} from 'node:timers/promises';
import {type Clock} from '../contracts/clock.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';

type StopOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly members: MembersService;
	/** Returns the number of requests in flight at this host. */
	readonly countRequestsInFlight: () => number;
	/** Called at the begin with the end of the grace time, in monotonic milliseconds. */
	readonly onBegin?: (endMs: number) => void;
	/** Called once all cached lookup responses that contain this host have expired. */
	readonly onLookupsExpired?: () => void;
	/** Called when no further connection needs to be accepted. */
	readonly onWaitEnd?: () => void;
	/** Timeout of a planned stop. */
	readonly graceMs: number;
	/** Time for which a cached lookup response may still contain this host. */
	readonly lookupTtlMs: number;
};

const pollMs = 50;
/** Time without any request after which no further request is expected. */
const idleMs = 300;
/** Time for the final membership update to reach the other hosts, and for responses to requests on connections accepted last. */
const leaveDelayMs = 100;
/** Limit of this time while such responses are outstanding. */
const maxLeaveDelayMs = 200;

/**
 * Carries out a planned stop. The host is removed from lookup responses and hands over its ownership of services. It serves
 * requests until cached lookup responses have expired and its last request has ended, and then leaves the membership.
 */
export class StopService {
	readonly #options: StopOptions;
	#isStopping = false;

	constructor(options: StopOptions) {
		this.#options = options;
	}

	get isStopping(): boolean {
		return this.#isStopping;
	}

	/** Stops this host. Returns the number of requests that were cut off, which is 0 unless the grace time ran out. */
	async stop(): Promise<number> {
		const {members, logger, clock, graceMs, lookupTtlMs, countRequestsInFlight, onBegin, onWaitEnd} = this.#options;
		this.#isStopping = true;
		const startMs = clock.nowMs();
		logger.info('planned stop begins', {requestsInFlight: countRequestsInFlight()});
		members.run(members.membership.setLeaving(true));
		onBegin?.(startMs + graceMs);
		await this.#waitUntil(startMs + lookupTtlMs, startMs + graceMs);
		onWaitEnd?.();
		members.run(members.membership.leave());
		const waitEndMs = clock.nowMs();
		await delay(leaveDelayMs);
		while (countRequestsInFlight() > 0 && clock.nowMs() - waitEndMs < maxLeaveDelayMs) {
			await delay(pollMs);
		}

		const requestsCut = countRequestsInFlight();
		logger.info('planned stop ends', {tookMs: Math.round(clock.nowMs() - startMs), requestsCut});
		return requestsCut;
	}

	/** Waits until `earliestMs` has passed and no request has been in flight for a while, but at most until `latestMs`. */
	async #waitUntil(earliestMs: number, latestMs: number): Promise<void> {
		const {clock, countRequestsInFlight, onLookupsExpired} = this.#options;
		let idleSinceMs = clock.nowMs();
		let haveLookupsExpired = false;
		while (clock.nowMs() < latestMs) {
			const nowMs = clock.nowMs();
			if (countRequestsInFlight() > 0) {
				idleSinceMs = nowMs;
			}

			if (!haveLookupsExpired && nowMs >= earliestMs) {
				haveLookupsExpired = true;
				onLookupsExpired?.();
			}

			if (nowMs >= earliestMs && nowMs - idleSinceMs >= idleMs) {
				return;
			}

			await delay(pollMs);
		}
	}
}

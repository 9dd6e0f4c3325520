import {setTimeout as delay} from 'node:timers/promises';
import {type Clock} from '../contracts/clock.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';

type StopOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly members: MembersService;
	/** Requests in this host's hands. */
	readonly remaining: () => number;
	/** Called when the stop begins. */
	readonly onBegin?: () => void;
	/** Called when no caller has this host in a cached look-up answer any longer. */
	readonly onForgotten?: () => void;
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
	}

	get isStopping(): boolean {
		return this.#isStopping;
	}

	/** Carries out the stop; answers the number of requests that it cut, which is 0 unless the time ran out. */
	async stop(): Promise<number> {
		const {members, logger, clock, graceMs, lookupTtlMs, remaining, onBegin} = this.#options;
		this.#isStopping = true;
		const startMs = clock.nowMs();
		logger.info('planned stop begins', {requestsInFlight: remaining()});
		members.run(members.membership.setLeaving(true));
		onBegin?.();
		await this.#waitUntil(startMs + lookupTtlMs, startMs + graceMs);
		const cut = remaining();
		members.run(members.membership.leave());
		await delay(farewellMs);
		logger.info('planned stop ends', {tookMs: Math.round(clock.nowMs() - startMs), requestsCut: cut});
		return cut;
	}

	/** Waits until nothing was left for a while, from the earliest moment on, but not beyond the latest. */
	async #waitUntil(earliestMs: number, latestMs: number): Promise<void> {
		const {clock, remaining, onForgotten} = this.#options;
		let quietSinceMs = clock.nowMs();
		let isForgotten = false;
		while (clock.nowMs() < latestMs) {
			const nowMs = clock.nowMs();
			if (remaining() > 0) {
				quietSinceMs = nowMs;
			}

			if (!isForgotten && nowMs >= earliestMs) {
				isForgotten = true;
				onForgotten?.();
			}

			if (nowMs >= earliestMs && nowMs - quietSinceMs >= quietMs) {
				return;
			}

			await delay(pollMs);
		}
	}
}

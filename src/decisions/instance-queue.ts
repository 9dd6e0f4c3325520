/** Load that an instance reports with a response. */
type ReportedLoad = {readonly running: number; readonly waiting: number; readonly slots: number};

/** Time constant of the decay of this host's send rate. */
const sendRateTimeConstantMs = 2000;
/** Weight of a new measurement in the estimate of a request's run time. */
const runTimeWeight = 0.1;
/** Minimum share of a request's total time that counts as run time, regardless of the expected wait. */
const minRunShare = 0.25;

/**
 * Estimates the queue of an instance that serves requests first come, first served: the load in its latest response,
 * plus the requests sent since, minus the requests that the instance has completed in the meantime. Other hosts are
 * assumed to send at the same rate as this host.
 */
export class InstanceQueue {
	#load: ReportedLoad | undefined;
	#loadMs = 0;
	#sentSinceLoad = 0;
	/** Number of requests sent by this host, with exponential decay. */
	#decayedSends = 0;
	#decayedSendsMs = 0;
	/** Mean run time of a request at the instance, without its wait; `undefined` before the first response. */
	#runMs: number | undefined;

	/** Records that this host sends a request to the instance. */
	recordSend(nowMs: number): void {
		this.#sentSinceLoad++;
		this.#decayedSends = this.#decayedSendsAt(nowMs) + 1;
		this.#decayedSendsMs = nowMs;
	}

	/** Records a response: the load that it reports, the time since the request was sent, and the wait that was expected then. */
	recordResponse(load: ReportedLoad, tookMs: number, expectedWaitMs: number, nowMs: number): void {
		const runMs = Math.max(tookMs - expectedWaitMs, tookMs * minRunShare);
		this.#runMs = (this.#runMs ?? runMs) + (runTimeWeight * (runMs - (this.#runMs ?? runMs)));
		this.updateLoad(load, nowMs);
	}

	/** Records the load that the instance reports, for example with a refusal. */
	updateLoad(load: ReportedLoad, nowMs: number): void {
		this.#load = load;
		this.#loadMs = nowMs;
		this.#sentSinceLoad = 0;
	}

	/** Estimates the time for which a request that arrives now waits for a slot, in milliseconds, if `senders` hosts send at the rate of this host. */
	waitMs(senders: number, nowMs: number): number {
		if (this.#load === undefined || this.#runMs === undefined) {
			return 0;
		}

		const {running, waiting, slots} = this.#load;
		// A small number of own sends is weak evidence of the other hosts' rate, so a lower bound is used: the number of
		// sends minus half its standard deviation. In addition, about one send by another host is assumed for each own
		// send since the last report.
		const sends = this.#decayedSendsAt(nowMs);
		const likelySends = Math.max(0, sends - (Math.sqrt(sends) / 2));
		const otherSends = (senders - 1) * ((this.#sentSinceLoad / senders) + (likelySends * (nowMs - this.#loadMs) / sendRateTimeConstantMs));
		const queued = waiting + this.#sentSinceLoad + otherSends - Math.max(0, slots - running);
		const perRequestMs = this.#runMs / Math.max(1, slots);
		return Math.max(0, (queued * perRequestMs) - (nowMs - this.#loadMs));
	}

	#decayedSendsAt(nowMs: number): number {
		return this.#decayedSends * Math.exp(-(nowMs - this.#decayedSendsMs) / sendRateTimeConstantMs);
	}
}

/** Load that an instance reports with a response. */
type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How many times as long as usual work takes on the instance's machine at this moment; `undefined` if the instance does not state it. */
	readonly timeFactor?: number;
};

/** Time constant of the decay of this host's send rate. */
const sendRateTimeConstantMs = 2000;
/** Weight of a new measurement in the estimate of a request's run time. */
const runTimeWeight = 0.1;
/**
 * Time constant with which a reported time factor loses its weight. It changes several times a second, as the other work on the machine
 * does: for changes at random between two values twice a second, its correlation has this time constant.
 */
const timeFactorTimeConstantMs = 250;
/** Minimum share of a request's total time that counts as run time, regardless of the expected wait. */
const minRunShare = 0.25;

/**
 * Estimates the queue of an instance that serves requests first come, first served: the load in its latest response,
 * plus the requests sent since, minus the requests that the instance has completed in the meantime. Other hosts are
 * assumed to send at the same rate as this host. If the instance reports its time factor, the forecast follows it as long as it is
 * new. The mean factor of the responses is kept beside the mean run time, which contains it already. It is meant for some responses a
 * second; with fewer the factor is too old to have weight.
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
	#latestFactor: {readonly value: number; readonly atMs: number} | undefined;
	/** Mean time factor of the responses from which `#runMs` was learned. */
	#meanFactor = 1;
	#hasMeanFactor = false;

	/** Whether the instance has reported a time factor. */
	get hasTimeFactor(): boolean {
		return this.#latestFactor !== undefined;
	}

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
		if (load.timeFactor !== undefined) {
			this.#meanFactor = this.#hasMeanFactor ? this.#meanFactor + (runTimeWeight * (load.timeFactor - this.#meanFactor)) : load.timeFactor;
			this.#hasMeanFactor = true;
		}

		this.updateLoad(load, nowMs);
	}

	/** Records the load that the instance reports, for example with a refusal. */
	updateLoad(load: ReportedLoad, nowMs: number): void {
		this.#load = load;
		this.#loadMs = nowMs;
		this.#sentSinceLoad = 0;
		if (load.timeFactor !== undefined) {
			this.#latestFactor = {value: load.timeFactor, atMs: nowMs};
		}
	}

	/**
	 * Forecasts how many times as long as usual work takes at the instance, on average over `durationMs` from `delayMs` after now; 1 if it
	 * reports no time factor. The latest factor has its full weight when it is new; the rest of the weight is the mean factor's.
	 */
	timeFactor(durationMs: number, delayMs: number, nowMs: number): number {
		if (this.#latestFactor === undefined) {
			return 1;
		}

		const weight = meanWeight(Math.max(0, nowMs - this.#latestFactor.atMs) + delayMs, durationMs);
		return this.#meanFactor + (weight * (this.#latestFactor.value - this.#meanFactor));
	}

	/**
	 * Returns how many times as long as on average at this instance work takes at this moment, over `durationMs` before or after the latest
	 * response. Learned times are divided by it, so that they contain the mean only and the factor is not counted twice.
	 */
	momentaryFactor(durationMs: number, nowMs: number): number {
		return this.timeFactor(durationMs, 0, nowMs) / this.#meanFactor;
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
		const usualWaitMs = queued * this.#runMs / Math.max(1, slots);
		return Math.max(0, (usualWaitMs * this.momentaryFactor(Math.max(0, usualWaitMs), nowMs)) - (nowMs - this.#loadMs));
	}

	#decayedSendsAt(nowMs: number): number {
		return this.#decayedSends * Math.exp(-(nowMs - this.#decayedSendsMs) / sendRateTimeConstantMs);
	}
}

/** Returns the mean weight of a time factor over `durationMs` from the age `ageMs`: 1 for no duration at age 0. */
function meanWeight(ageMs: number, durationMs: number): number {
	const constants = durationMs / timeFactorTimeConstantMs;
	return Math.exp(-ageMs / timeFactorTimeConstantMs) * (constants > 0 ? -Math.expm1(-constants) / constants : 1);
}

/** Weight of a new service time in the mean and the deviation. */
const serviceTimeWeight = 0.05;
const roundTripWeight = 0.2;
/** Round-trip time, as a share of the mean service time, above which requests are sent beyond the slots. */
const maxTransitShare = 0.05;
/** Number of mean absolute deviations above the mean within which nearly all service times lie. */
const boundDeviations = 4;

/** Estimates the service time and the round-trip time of a service's instances, in milliseconds, from exponentially weighted means. */
export class ServiceTimes {
	#meanMs: number;
	/** Mean absolute deviation. */
	#deviationMs: number;
	#roundTripMs = 0;

	constructor(initialMs: number) {
		this.#meanMs = initialMs;
		this.#deviationMs = initialMs / 2;
	}

	/** Mean time from start to response. */
	get meanMs(): number {
		return this.#meanMs;
	}

	/** Time after its start within which nearly every request receives its response. */
	get boundMs(): number {
		return this.#meanMs + (boundDeviations * this.#deviationMs);
	}

	/**
	 * Number of requests sent beyond an instance's slots, which keep it busy while a response and the next request are in
	 * transit. A request that waits at the instance is no longer subject to the order of the queue, so the number is 0
	 * while little time is lost in transit.
	 */
	get transitAllowance(): number {
		return this.#roundTripMs > this.#meanMs * maxTransitShare ? 1 : 0;
	}

	/** Records the time of one request from start to response. */
	record(timeMs: number): void {
		const errorMs = timeMs - this.#meanMs;
		this.#meanMs += serviceTimeWeight * errorMs;
		this.#deviationMs += serviceTimeWeight * (Math.abs(errorMs) - this.#deviationMs);
	}

	/** Records a round-trip time to an instance. */
	recordRoundTrip(roundTripMs: number): void {
		this.#roundTripMs += roundTripWeight * (roundTripMs - this.#roundTripMs);
	}
}

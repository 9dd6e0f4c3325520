const serviceWeight = 0.05;
const transitWeight = 0.2;
/** Share of a slot's time that may be lost in travel before requests are sent beyond the slots. */
const idleShare = 0.05;
/** Deviations beyond the mean within which nearly all service times lie. */
const deviations = 4;

/** Learned times of a service's instances, in milliseconds. */
export class ServiceTimes {
	#meanMs: number;
	/** Mean absolute deviation. */
	#deviationMs: number;
	#transitMs = 0;

	constructor(initialMs: number) {
		this.#meanMs = initialMs;
		this.#deviationMs = initialMs / 2;
	}

	/** Mean time from start to answer. */
	get meanMs(): number {
		return this.#meanMs;
	}

	/** Time within which nearly every request is answered once it has started. */
	get boundMs(): number {
		return this.#meanMs + (deviations * this.#deviationMs);
	}

	/**
	 * Requests beyond the slots that keep an instance busy while an answer and the next request travel. One that waits
	 * there is out of the queue's order, so there is none while little time is lost in travel.
	 */
	get allowance(): number {
		return this.#transitMs > this.#meanMs * idleShare ? 1 : 0;
	}

	/** Takes in the time of one request from start to answer. */
	observe(timeMs: number): void {
		const errorMs = timeMs - this.#meanMs;
		this.#meanMs += serviceWeight * errorMs;
		this.#deviationMs += serviceWeight * (Math.abs(errorMs) - this.#deviationMs);
	}

	/** Takes in the time that a message to an instance and back took. */
	observeTransit(roundTripMs: number): void {
		this.#transitMs += transitWeight * (roundTripMs - this.#transitMs);
	}
}

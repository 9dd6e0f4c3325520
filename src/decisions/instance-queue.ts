/** Load that an instance tells of itself with an answer. */
type ToldLoad = {readonly running: number; readonly waiting: number; readonly slots: number};

/** Time constant of this host's rate of sends, in milliseconds. */
const memoryMs = 2000;
/** Weight of a new time in the estimate of a request's time at the instance. */
const runWeight = 0.1;
/** Least part of an answer's time that counts as its run, however long the wait was expected to be. */
const leastRunPart = 0.25;

/**
 * The queue of an instance that serves first come, first served: as its latest answer told it, plus what this host sent
 * since, less what the instance has worked off in the meantime. Other hosts are taken to send at this one's rate.
 */
export class InstanceQueue {
	#load: ToldLoad | undefined;
	#toldMs = 0;
	#sentSince = 0;
	/** Sends of this host, decaying with the memory's time constant. */
	#sends = 0;
	#sendsMs = 0;
	/** Mean time of a request at the instance without its wait, in milliseconds; `undefined` before the first answer. */
	#runMs: number | undefined;

	/** Counts a request that this host sends. */
	sent(nowMs: number): void {
		this.#sentSince++;
		this.#sends = this.#sendsAt(nowMs) + 1;
		this.#sendsMs = nowMs;
	}

	/** Takes in an answer: the load it tells, the time since the send, and the wait that was expected at the send, in milliseconds. */
	answered(load: ToldLoad, tookMs: number, expectedWaitMs: number, nowMs: number): void {
		const runMs = Math.max(tookMs - expectedWaitMs, tookMs * leastRunPart);
		this.#runMs = (this.#runMs ?? runMs) + (runWeight * (runMs - (this.#runMs ?? runMs)));
		this.told(load, nowMs);
	}

	/** Takes in the load that a refusal tells. */
	told(load: ToldLoad, nowMs: number): void {
		this.#load = load;
		this.#toldMs = nowMs;
		this.#sentSince = 0;
	}

	/** Time for which a request that arrives now waits for a slot, in milliseconds, if `senders` hosts send like this one. */
	waitMs(senders: number, nowMs: number): number {
		if (this.#load === undefined || this.#runMs === undefined) {
			return 0;
		}

		const {running, waiting, slots} = this.#load;
		// Few own sends say little about the others' rate: as much is assumed as is likely, and one more send for each own one.
		const sends = this.#sendsAt(nowMs);
		const likelySends = Math.max(0, sends - (Math.sqrt(sends) / 2));
		const others = (senders - 1) * ((this.#sentSince / senders) + (likelySends * (nowMs - this.#toldMs) / memoryMs));
		const queued = waiting + this.#sentSince + others - Math.max(0, slots - running);
		const perRequestMs = this.#runMs / Math.max(1, slots);
		return Math.max(0, (queued * perRequestMs) - (nowMs - this.#toldMs));
	}

	#sendsAt(nowMs: number): number {
		return this.#sends * Math.exp(-(nowMs - this.#sendsMs) / memoryMs);
	}
}

/** Sustained rate of lines of one message, and the number of lines permitted in a burst. */
type LimiterOptions = {readonly linesPerSecond: number; readonly burstLines: number};

type Bucket = {linesLeft: number; refilledMs: number; leftOut: number};

/** Limits the log lines of each message with a token bucket, so that a flood of failures uses only a bounded share of the processor. */
export class LogRateLimiter {
	readonly #options: LimiterOptions;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: LimiterOptions) {
		this.#options = options;
	}

	/** Returns the number of lines of a message omitted since its last permitted line, or `undefined` if this line must be omitted too. */
	admit(message: string, nowMs: number): number | undefined {
		const {linesPerSecond, burstLines} = this.#options;
		const bucket = this.#buckets.get(message) ?? {linesLeft: burstLines, refilledMs: nowMs, leftOut: 0};
		this.#buckets.set(message, bucket);
		bucket.linesLeft = Math.min(burstLines, bucket.linesLeft + (linesPerSecond * (nowMs - bucket.refilledMs) / 1000));
		bucket.refilledMs = nowMs;
		if (bucket.linesLeft < 1) {
			bucket.leftOut++;
			return undefined;
		}

		bucket.linesLeft--;
		const {leftOut} = bucket;
		bucket.leftOut = 0;
		return leftOut;
	}
}

/** How a send to an instance ended, as far as the instance's health is concerned. */
type SendEnd = 'answered' | 'rejected' | 'unreachable' | 'lost' | 'misdirected' | 'overdue';

/** First pause after an instance was found unreachable, in milliseconds; it doubles up to the longest. */
const firstPauseMs = 500;
const longestPauseMs = 4000;
/** Connections lost in a row after which the instance counts as unreachable: one alone may be the connection's fault. */
const lostLimit = 2;

/** Whether an instance can be reached, learned from this host's own sends. */
export class InstanceHealth {
	#failures = 0;
	#lost = 0;
	#pausedUntilMs = Number.NEGATIVE_INFINITY;
	#isProbing = false;
	#failedMs: number | undefined;

	/** Moment of the latest failure that is not yet followed by an answer, in monotonic milliseconds. */
	get failedMs(): number | undefined {
		return this.#failedMs;
	}

	/** Whether the instance may be sent to: `open`, `probe` for one repeatable request, or `closed`. */
	state(nowMs: number): 'open' | 'probe' | 'closed' {
		if (this.#failures === 0) {
			return 'open';
		}

		return nowMs < this.#pausedUntilMs || this.#isProbing ? 'closed' : 'probe';
	}

	/** Counts a send. */
	started(nowMs: number): void {
		this.#isProbing = this.state(nowMs) === 'probe';
	}

	/** Takes in how a send ended. */
	ended(end: SendEnd, nowMs: number): void {
		switch (end) {
			case 'answered':
			case 'rejected': {
				this.#failures = 0;
				this.#lost = 0;
				this.#isProbing = false;
				this.#failedMs = undefined;
				break;
			}

			case 'unreachable':
			case 'misdirected': {
				this.#fail(nowMs);
				break;
			}

			case 'lost': {
				this.#lost++;
				if (this.#isProbing || this.#lost >= lostLimit) {
					this.#fail(nowMs);
				}

				break;
			}

			case 'overdue': {
				this.#isProbing = false;
				break;
			}
		}
	}

	#fail(nowMs: number): void {
		this.#isProbing = false;
		this.#failedMs = nowMs;
		this.#pausedUntilMs = nowMs + Math.min(longestPauseMs, firstPauseMs * (2 ** Math.min(10, this.#failures)));
		this.#failures++;
	}
}

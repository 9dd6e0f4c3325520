/** Result of an attempt, as far as it concerns the instance's health. */
type HealthResult = 'answered' | 'rejected' | 'unreachable' | 'lost' | 'misdirected' | 'overdue';

/** Pause after the first failure of an instance; doubles with each further failure up to `maxPauseMs`. */
const initialPauseMs = 500;
const maxPauseMs = 4000;
/** Number of connections lost in a row after which the instance counts as unreachable. A single loss may be a fault of the connection. */
const lostConnectionLimit = 2;

/** Tracks whether an instance can be reached, from the results of this host's own attempts (a circuit breaker). */
export class InstanceHealth {
	#failures = 0;
	#lostConnections = 0;
	#pausedUntilMs = Number.NEGATIVE_INFINITY;
	#isProbing = false;
	#failedMs: number | undefined;

	/** Moment of the latest failure, in monotonic milliseconds; `undefined` once the instance has responded since. */
	get failedMs(): number | undefined {
		return this.#failedMs;
	}

	/** Returns which requests may be sent to the instance: any (`open`), one repeatable request (`probe`) or none (`closed`). */
	state(nowMs: number): 'open' | 'probe' | 'closed' {
		if (this.#failures === 0) {
			return 'open';
		}

		return nowMs < this.#pausedUntilMs || this.#isProbing ? 'closed' : 'probe';
	}

	/** Records the start of an attempt. */
	recordStart(nowMs: number): void {
		this.#isProbing = this.state(nowMs) === 'probe';
	}

	/** Records the result of an attempt. */
	recordResult(result: HealthResult, nowMs: number): void {
		switch (result) {
			case 'answered':
			case 'rejected': {
				this.#failures = 0;
				this.#lostConnections = 0;
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
				this.#lostConnections++;
				if (this.#isProbing || this.#lostConnections >= lostConnectionLimit) {
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
		this.#pausedUntilMs = nowMs + Math.min(maxPauseMs, initialPauseMs * (2 ** Math.min(10, this.#failures)));
		this.#failures++;
	}
}

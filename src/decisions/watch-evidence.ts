/**
 * Age of a call from which a probe sent then tells that no changes are on their way: the store would have begun to send them. Two round trips between
 * regions, in milliseconds.
 */
const minCallAgeMs = 250;
/** Age of an answered probe from which it tells nothing about the present: longer than a call to the store may take, in milliseconds. */
const maxProbeAgeMs = 1000;

/** Determines up to which time a host that watches the store has had all changes, by what the store told it. */
export class WatchEvidence {
	/** Time at which the call that waits for changes began; infinite between two calls. */
	#callSinceMs = Number.POSITIVE_INFINITY;
	/** Time since which a response has been arriving whose changes this host does not have yet; `undefined` while there is none. */
	#receivingSinceMs: number | undefined;
	/** Whether a probe failed since the call began: the store may answer again while the call waits on a connection that is lost. */
	#isSuspect = false;
	#confirmedMs = Number.NEGATIVE_INFINITY;

	/** Latest time at which this host had all changes, in monotonic milliseconds. */
	get confirmedMs(): number {
		return this.#confirmedMs;
	}

	/** Whether the watch has to begin again because its call may be lost, once the store answers probes. */
	get isSuspect(): boolean {
		return this.#isSuspect;
	}

	/** Records that the watch begins, begins again or ends. */
	reset(): void {
		this.#callSinceMs = Number.POSITIVE_INFINITY;
		this.#isSuspect = false;
	}

	/** Records that a call waits for the changes after those that this host has. */
	recordCall(nowMs: number): void {
		this.#callSinceMs = nowMs;
		this.#receivingSinceMs = undefined;
	}

	/** Records that the response to such a call arrives, or that a full read has begun. */
	recordProgress(nowMs: number): void {
		this.#receivingSinceMs ??= nowMs;
	}

	/** Records the end of a call or a full read, and whether it brought all changes: those until the response, or the read, began. */
	recordEnd(isAnswered: boolean, isComplete: boolean): void {
		if (isComplete && this.#receivingSinceMs !== undefined) {
			this.#confirmedMs = Math.max(this.#confirmedMs, this.#receivingSinceMs);
		}

		this.#receivingSinceMs = undefined;
		this.#callSinceMs = Number.POSITIVE_INFINITY;
		this.#isSuspect &&= !isAnswered;
	}

	recordProbeFailure(): void {
		this.#isSuspect = true;
	}

	/** Records that the store answered a probe: no changes are on their way if the call waits for long enough. */
	recordProbeAnswer(sentMs: number, nowMs: number): void {
		if (this.#receivingSinceMs === undefined && sentMs >= this.#callSinceMs + minCallAgeMs && nowMs - sentMs <= maxProbeAgeMs) {
			this.#confirmedMs = nowMs;
		}
	}
}

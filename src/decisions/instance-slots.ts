type InstanceInfo = {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
	/** Requests that the instance runs at once. */
	readonly slots: number;
};

/** Requests in transit beyond the slots, at most. */
const maxAllowance = 2;
/** Successes that widen a cold instance by one slot. */
const successesPerSlot = 4;
/** First pause after a refused connection, in milliseconds; it doubles up to the longest. */
const firstBackoffMs = 250;
const longestBackoffMs = 8000;
/** Time after a shed answer in which nothing is sent beyond the slots, in milliseconds. */
const shedMemoryMs = 2000;
/** Pause after a shed answer to a request within the slots, in milliseconds. */
const shedBackoffMs = 50;

/** Exact count of one instance's slots, with its warm-up, its backoff and the allowance for requests in transit. */
export class InstanceSlots {
	readonly info: InstanceInfo;
	inFlight = 0;
	isLeaving = false;
	#warmSlots: number;
	#successes = 0;
	#failures = 0;
	#backoffUntilMs = 0;
	#shedMs = Number.NEGATIVE_INFINITY;
	#isProbing = false;

	/** `isWarm` says that the instance has been serving already, such as for an earlier owner. */
	constructor(info: InstanceInfo, isWarm: boolean) {
		this.info = info;
		this.#warmSlots = isWarm ? info.slots : 1;
	}

	/** Whether the instance is thought to be up. */
	get isUp(): boolean {
		return this.#failures === 0;
	}

	/** Whether the instance has reached its full width. */
	get isWarm(): boolean {
		return this.#warmSlots >= this.info.slots;
	}

	/** Requests that the instance may hold now; `share` is this owner's part of the slots, from 0 to 1. */
	limit(nowMs: number, share: number, allowance: number): number {
		if (this.isLeaving || nowMs < this.#backoffUntilMs) {
			return 0;
		}

		if (this.#failures > 0) {
			return this.#isProbing ? 0 : 1;
		}

		const slots = Math.min(this.#warmSlots, Math.max(1, Math.floor(this.info.slots * share)));
		const isFull = this.isWarm && share === 1 && nowMs - this.#shedMs > shedMemoryMs;
		return isFull ? slots + Math.min(allowance, maxAllowance) : slots;
	}

	/** Counts a start. */
	start(): void {
		this.inFlight++;
		if (this.#failures > 0) {
			this.#isProbing = true;
		}
	}

	/** Counts an end and learns from it. */
	finish(result: 'done' | 'shed' | 'unreachable' | 'lost' | 'overdue' | 'cancelled', nowMs: number): void {
		this.inFlight--;
		switch (result) {
			case 'done': {
				this.#recover();
				break;
			}

			case 'shed': {
				this.#isProbing = false;
				this.#shedMs = nowMs;
				this.#backoffUntilMs = nowMs + shedBackoffMs;
				break;
			}

			case 'unreachable':
			case 'lost': {
				this.markDown(nowMs);
				break;
			}

			case 'overdue':
			case 'cancelled': {
				this.#isProbing = false;
				break;
			}
		}
	}

	/** Takes in that the instance does not answer. */
	markDown(nowMs: number): void {
		this.#isProbing = false;
		this.#failures++;
		this.#warmSlots = 1;
		this.#successes = 0;
		const backoffMs = Math.min(longestBackoffMs, firstBackoffMs * (2 ** Math.min(10, this.#failures - 1)));
		this.#backoffUntilMs = nowMs + backoffMs;
	}

	/** Takes in that the instance answers again; it starts narrow. */
	markUp(): void {
		if (this.#failures > 0) {
			this.#failures = 0;
			this.#isProbing = false;
			this.#backoffUntilMs = 0;
		}
	}

	#recover(): void {
		this.markUp();
		this.#successes++;
		if (this.#successes >= successesPerSlot && this.#warmSlots < this.info.slots) {
			this.#warmSlots++;
			this.#successes = 0;
		}
	}
}

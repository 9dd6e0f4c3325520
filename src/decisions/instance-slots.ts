type InstanceInfo = {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
	/** Number of requests that the instance runs concurrently. */
	readonly slots: number;
};

/** Maximum number of requests sent beyond the slots to make up for time in transit. */
const maxTransitAllowance = 2;
/** Number of completed requests after which one more slot of an instance in warm-up is used. */
const successesPerWarmUpSlot = 4;
/** Pause after the first failure to reach an instance; doubles with each further failure up to `maxBackoffMs`. */
const initialBackoffMs = 250;
const maxBackoffMs = 8000;
/** Time after a shed response during which no request is sent beyond the slots. */
const noTransitAllowanceMs = 2000;
/** Pause after a shed response. */
const shedBackoffMs = 50;

/** Keeps an exact count of one instance's slots in use; limits them during warm-up and backoff, and allows for requests in transit. */
export class InstanceSlots {
	readonly info: InstanceInfo;
	inFlight = 0;
	isLeaving = false;
	#warmUpSlots: number;
	#successes = 0;
	#failures = 0;
	#backoffUntilMs = 0;
	#shedMs = Number.NEGATIVE_INFINITY;
	#isProbing = false;

	/** `isWarmedUp` states whether the instance has already served requests, for example for a previous owner. */
	constructor(info: InstanceInfo, isWarmedUp: boolean) {
		this.info = info;
		this.#warmUpSlots = isWarmedUp ? info.slots : 1;
	}

	/** Whether the instance is considered up: it has not failed since it last responded. */
	get isUp(): boolean {
		return this.#failures === 0;
	}

	/** Whether the warm-up is over, so that all slots are used. */
	get isWarmedUp(): boolean {
		return this.#warmUpSlots >= this.info.slots;
	}

	/**
	 * Returns the number of requests that the instance may hold now. `slotShare` is this owner's share of the slots, from
	 * 0 to 1; `transitAllowance` is the number of requests beyond the slots.
	 */
	limit(nowMs: number, slotShare: number, transitAllowance: number): number {
		if (this.isLeaving || nowMs < this.#backoffUntilMs) {
			return 0;
		}

		if (this.#failures > 0) {
			return this.#isProbing ? 0 : 1;
		}

		const slots = Math.min(this.#warmUpSlots, Math.max(1, Math.floor(this.info.slots * slotShare)));
		const mayExceedSlots = this.isWarmedUp && slotShare === 1 && nowMs - this.#shedMs > noTransitAllowanceMs;
		return mayExceedSlots ? slots + Math.min(transitAllowance, maxTransitAllowance) : slots;
	}

	/** Records the start of a request. */
	start(): void {
		this.inFlight++;
		if (this.#failures > 0) {
			this.#isProbing = true;
		}
	}

	/** Records the end of a request, and updates warm-up and backoff by its result. */
	finish(result: 'done' | 'shed' | 'unreachable' | 'lost' | 'overdue' | 'cancelled', nowMs: number): void {
		this.inFlight--;
		switch (result) {
			case 'done': {
				this.#recordSuccess();
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

	/** Records that the instance does not respond: it is paused, and its warm-up starts again. */
	markDown(nowMs: number): void {
		this.#isProbing = false;
		this.#failures++;
		this.#warmUpSlots = 1;
		this.#successes = 0;
		const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** Math.min(10, this.#failures - 1)));
		this.#backoffUntilMs = nowMs + backoffMs;
	}

	/** Records that the instance responds again. Its warm-up starts with one slot. */
	markUp(): void {
		if (this.#failures > 0) {
			this.#failures = 0;
			this.#isProbing = false;
			this.#backoffUntilMs = 0;
		}
	}

	#recordSuccess(): void {
		this.markUp();
		this.#successes++;
		if (this.#successes >= successesPerWarmUpSlot && this.#warmUpSlots < this.info.slots) {
			this.#warmUpSlots++;
			this.#successes = 0;
		}
	}
}

import {SlidingCount} from './sliding-count.js';

type RetryShareOptions = {
	/** Repeats allowed for each first send, over all hosts. */
	readonly ratio: number;
	/** Repeats allowed beside those, in a window, over all hosts. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Part of the allowance that is used; the rest covers hosts that start again with an empty count. */
const usedPart = 0.6;

/**
 * This host's share of the repeats that a service may receive in a window. The ratio applies to the requests
 * that this host took in, and the slack is divided by the number of hosts, so that the shares add up to the bound
 * without any message.
 */
export class RetryShare {
	readonly #options: RetryShareOptions;
	readonly #firsts = new Map<string, SlidingCount>();
	readonly #repeats = new Map<string, SlidingCount>();

	constructor(options: RetryShareOptions) {
		this.#options = options;
	}

	/** Counts a request for a service. */
	countFirst(service: string, nowMs: number): void {
		this.#countOf(this.#firsts, service).add(nowMs);
	}

	/** Takes leave for one repeat; `hosts` is the number of hosts that may be sending. */
	take(service: string, hosts: number, nowMs: number): boolean {
		const {ratio, slack} = this.#options;
		const repeats = this.#countOf(this.#repeats, service);
		const firsts = this.#countOf(this.#firsts, service).total(nowMs);
		const allowed = usedPart * ((ratio * firsts) + (slack / Math.max(1, hosts)));
		if (repeats.total(nowMs) + 1 > allowed) {
			return false;
		}

		repeats.add(nowMs);
		return true;
	}

	#countOf(counts: Map<string, SlidingCount>, service: string): SlidingCount {
		let count = counts.get(service);
		if (count === undefined) {
			count = new SlidingCount(this.#options.windowMs);
			counts.set(service, count);
		}

		return count;
	}
}

import {SlidingCount} from './sliding-count.js';

type RetryShareOptions = {
	/** Retries allowed for each request, over all hosts. */
	readonly ratio: number;
	/** Additional retries allowed in a window, over all hosts. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Share of the allowed retries that is used. The rest is reserved for hosts that restart within the window with an empty count. */
const usedShare = 0.6;

/**
 * This host's share of the retries that a service may receive in a window. The ratio applies to the requests that this
 * host received, and the slack is divided by the number of hosts. So the shares of all hosts add up to the limit without
 * coordination.
 */
export class RetryShare {
	readonly #options: RetryShareOptions;
	readonly #requests = new Map<string, SlidingCount>();
	readonly #retries = new Map<string, SlidingCount>();

	constructor(options: RetryShareOptions) {
		this.#options = options;
	}

	/** Records a request for a service. */
	recordRequest(service: string, nowMs: number): void {
		this.#countOf(this.#requests, service).add(nowMs);
	}

	/** Uses one retry of the share; returns whether one was left. `hosts` is the number of hosts that may be sending. */
	take(service: string, hosts: number, nowMs: number): boolean {
		const {ratio, slack} = this.#options;
		const retries = this.#countOf(this.#retries, service);
		const requests = this.#countOf(this.#requests, service).total(nowMs);
		const allowed = usedShare * ((ratio * requests) + (slack / Math.max(1, hosts)));
		if (retries.total(nowMs) + 1 > allowed) {
			return false;
		}

		retries.add(nowMs);
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

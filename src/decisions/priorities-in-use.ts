/** Time for which a priority counts as in use after a request of this host; it is longer than the pauses between a caller's requests. */
const inUseMs = 10_000;

/**
 * Tells which priorities the requests for a service have at present. Accounts may have priorities that no request ever uses; instances
 * kept free for these would be lost to the others. Designed for tens of priorities and services.
 */
export class PrioritiesInUse {
	/** Monotonic time of this host's latest request by priority, by service. */
	readonly #latestMs = new Map<string, Map<number, number>>();

	/** Records a request of this host. */
	record(service: string, priority: number, nowMs: number): void {
		const own = this.#latestMs.get(service) ?? new Map<number, number>();
		this.#latestMs.set(service, own);
		own.set(priority, nowMs);
	}

	/**
	 * Returns the priorities in use in the region, the most urgent first: those that the planner reports and those of this host's requests.
	 * Without a report, `possible` are assumed, which are all that the configuration allows.
	 */
	of(service: string, {reported, possible}: {readonly reported: readonly number[] | undefined; readonly possible: readonly number[]}, nowMs: number): readonly number[] {
		if (reported === undefined) {
			return possible;
		}

		const recent = [...this.#latestMs.get(service) ?? []].filter(([, latestMs]) => nowMs - latestMs < inUseMs).map(([priority]) => priority);
		return [...new Set([...reported, ...recent])].toSorted((a, b) => a - b);
	}
}

type Judgement = {readonly slowness: number; readonly heardMs: number};

/** Time for which a host's judgement holds, in milliseconds: hosts report at least each second. */
const holdMs = 2500;
/** Hosts that have to agree: one alone may have a bad path to the instance. */
const leastHosts = 2;

/** What the hosts of a region say of slow instances. */
export class SlowInstances {
	readonly #judgements = new Map<string, Map<string, Judgement>>();

	/** Takes in a host's judgement of an instance. */
	hear(instanceId: string, host: string, slowness: number, nowMs: number): void {
		const byHost = this.#judgements.get(instanceId) ?? new Map<string, Judgement>();
		byHost.set(host, {slowness, heardMs: nowMs});
		this.#judgements.set(instanceId, byHost);
	}

	/** How many times slower than usual an instance is, by the second of the hosts that find it slowest; 1 if fewer say so. */
	slownessOf(instanceId: string, nowMs: number): number {
		const byHost = this.#judgements.get(instanceId);
		if (byHost === undefined) {
			return 1;
		}

		for (const [host, {heardMs}] of byHost) {
			if (nowMs - heardMs > holdMs) {
				byHost.delete(host);
			}
		}

		return [...byHost.values()].map(judgement => judgement.slowness).toSorted((a, b) => b - a)[leastHosts - 1] ?? 1;
	}

	/** Whether an instance is slow now. */
	isSlow(instanceId: string, nowMs: number): boolean {
		return this.slownessOf(instanceId, nowMs) > 1;
	}

	/** The instances that are slow now, and how many times slower than usual. */
	list(nowMs: number): Array<[instanceId: string, slowness: number]> {
		return [...this.#judgements.keys()]
			.map((id): [string, number] => [id, this.slownessOf(id, nowMs)])
			.filter(([, slowness]) => slowness > 1);
	}
}

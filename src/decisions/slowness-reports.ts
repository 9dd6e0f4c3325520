type SlownessReport = {readonly slowness: number; readonly receivedMs: number};

/** Time for which a host's report is valid. Hosts report at least once a second. */
const reportValidMs = 2500;
/** Number of hosts that have to report an instance as slow: the path from a single one may be bad. */
const minHosts = 2;

/** Combines the reports of a region's hosts about slow instances. */
export class SlownessReports {
	/** Reports by instance id and host. */
	readonly #reports = new Map<string, Map<string, SlownessReport>>();

	/** Applies a host's report of how many times slower than usual an instance is. */
	apply(instanceId: string, host: string, slowness: number, nowMs: number): void {
		const byHost = this.#reports.get(instanceId) ?? new Map<string, SlownessReport>();
		byHost.set(host, {slowness, receivedMs: nowMs});
		this.#reports.set(instanceId, byHost);
	}

	/** Returns how many times slower than usual an instance is: the second highest value that hosts report; 1 if fewer than two hosts do. */
	slownessOf(instanceId: string, nowMs: number): number {
		const byHost = this.#reports.get(instanceId);
		if (byHost === undefined) {
			return 1;
		}

		for (const [host, {receivedMs}] of byHost) {
			if (nowMs - receivedMs > reportValidMs) {
				byHost.delete(host);
			}
		}

		return [...byHost.values()].map(report => report.slowness).toSorted((a, b) => b - a)[minHosts - 1] ?? 1;
	}

	/** Returns whether an instance is slow now. */
	isSlow(instanceId: string, nowMs: number): boolean {
		return this.slownessOf(instanceId, nowMs) > 1;
	}

	/** Returns the instances that are slow now, each with how many times slower than usual it is. */
	list(nowMs: number): Array<[instanceId: string, slowness: number]> {
		return [...this.#reports.keys()]
			.map((id): [string, number] => [id, this.slownessOf(id, nowMs)])
			.filter(([, slowness]) => slowness > 1);
	}
}

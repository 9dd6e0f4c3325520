/** Time for which a host's report is valid. Hosts repeat it while the pause lasts, as long as the same process of the instance is listed. */
const reportValidMs = 1500;
/** Number of hosts whose pauses together count as one by the whole instance. */
const minHosts = 2;

/** Combines the reports of a region's hosts about instances that asked them for a pause. */
export class PauseReports {
	/** Ends of the reported pauses by instance id and host. */
	readonly #reports = new Map<string, Map<string, number>>();

	/** Applies a host's report that an instance wants no requests from it for `pauseMs` milliseconds. */
	apply(instanceId: string, host: string, pauseMs: number, nowMs: number): void {
		const byHost = this.#reports.get(instanceId) ?? new Map<string, number>();
		byHost.set(host, nowMs + Math.min(reportValidMs, pauseMs));
		this.#reports.set(instanceId, byHost);
	}

	/** Returns the share of an instance's slots, from 0 to 1, that a region with this number of hosts can use now. */
	usableShare(instanceId: string, hosts: number, nowMs: number): number {
		const byHost = this.#reports.get(instanceId);
		if (byHost === undefined) {
			return 1;
		}

		for (const [host, untilMs] of byHost) {
			if (nowMs >= untilMs) {
				byHost.delete(host);
			}
		}

		if (byHost.size === 0) {
			this.#reports.delete(instanceId);
		}

		return Math.max(0, 1 - (byHost.size / Math.max(1, Math.min(minHosts, hosts))));
	}
}

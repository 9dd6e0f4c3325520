/** Where reports go next: to the region's collector, to the hosts of the own region, or to those and to the other regions. */
type Destination = 'collector' | 'own_region' | 'all_regions';

/** State of a request whose report is to be sent. */
type PendingReport = {
	readonly service: string;
	readonly isCleared: boolean;
	readonly destination: Destination;
	/** Whether no other host can know a crash report of this request. */
	readonly isUnshared: boolean;
};

/**
 * Collects reports about requests until they are sent together: an instance that fails loses all requests that it runs at
 * once. Of each request only the latest state is kept.
 */
export class CrashReportBatch {
	readonly #pending = new Map<string, PendingReport>();

	/** Adds a report, which replaces an earlier one of the same request. */
	add(fingerprint: string, report: PendingReport): void {
		const earlier = this.#pending.get(fingerprint);
		this.#pending.set(fingerprint, earlier === undefined
			? report
			: {
				...report,
				destination: report.destination === earlier.destination ? report.destination : 'all_regions',
				isUnshared: earlier.isUnshared,
			});
	}

	/** Records that another host knows a crash report of a request. */
	recordShared(fingerprint: string): void {
		const pending = this.#pending.get(fingerprint);
		if (pending !== undefined) {
			this.#pending.set(fingerprint, {...pending, isUnshared: false});
		}
	}

	/** Removes the report of a request of which no other host knows; returns whether there was one. */
	withdrawUnshared(fingerprint: string): boolean {
		return this.#pending.get(fingerprint)?.isUnshared === true && this.#pending.delete(fingerprint);
	}

	/** Removes and returns all reports by fingerprint. */
	take(): ReadonlyArray<readonly [string, PendingReport]> {
		const reports = [...this.#pending];
		this.#pending.clear();
		return reports;
	}
}

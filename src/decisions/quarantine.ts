import {fingerprintKinds} from './fingerprint-kinds.js';

/** Crash reports of one request, or of requests that begin alike. */
type CrashReports = {
	readonly fingerprint: string;
	readonly service: string;
	/** Instances that were lost while they ran the request. */
	readonly instances: readonly string[];
	/** Time at which this host recorded the first crash report, in monotonic milliseconds. */
	readonly sinceMs: number;
};

/** Number of instances that must be lost before a request is refused. */
const quarantineInstanceCount = 2;
/** Time after which the crash reports of a request no longer count. */
const retentionMs = 3_600_000;
/** Number of lost instances that are kept for a request; a call between daemons takes no more. */
const maxLostInstances = 16;
/** Number of requests whose crash reports are kept. */
const maxReportedRequests = 10_000;

/**
 * Refuses requests that crash the instances that run them. A request is refused after two different instances were lost
 * while running it, so that a single faulty instance cannot cause a refusal. A complete response clears the request. Requests that only begin like
 * one of these are not refused, but suspect.
 */
export class Quarantine {
	readonly #reports = new Map<string, CrashReports>();

	/** Returns whether a request must be refused. */
	isBlocked(fingerprint: string, nowMs: number): boolean {
		const reports = this.#current(fingerprint, nowMs);
		return reports !== undefined && reports.instances.length >= quarantineInstanceCount && fingerprintKinds.kindOf(fingerprint) !== 'beginning';
	}

	/** Returns whether any instance was lost while it ran a request with this fingerprint. */
	isSuspect(fingerprint: string, nowMs: number): boolean {
		return this.#current(fingerprint, nowMs) !== undefined;
	}

	/** Returns the instances that were lost while they ran a request. */
	lostInstances(fingerprint: string): readonly string[] {
		return this.#reports.get(fingerprint)?.instances ?? [];
	}

	/** Records that instances were lost while they ran a request; returns whether any of them was not known before. */
	recordCrash(fingerprint: string, service: string, instances: readonly string[], nowMs: number): boolean {
		const reports = this.#current(fingerprint, nowMs);
		const all = [...new Set([...(reports?.instances ?? []), ...instances])].slice(0, maxLostInstances);
		if (reports?.instances.length === all.length) {
			return false;
		}

		this.#reports.delete(fingerprint);
		this.#reports.set(fingerprint, {
			fingerprint, service, instances: all, sinceMs: reports?.sinceMs ?? nowMs,
		});
		if (this.#reports.size > maxReportedRequests) {
			const [oldest] = this.#reports.keys();
			this.#reports.delete(oldest!);
		}

		return true;
	}

	/** Removes the crash reports of a request that completed, or whose quarantine an operator lifts; returns whether there were any. */
	clear(fingerprint: string): boolean {
		return this.#reports.delete(fingerprint);
	}

	/** Returns the latest crash reports that count, up to `limit` of them. */
	latest(limit: number, nowMs: number): readonly CrashReports[] {
		return [...this.#reports.values()].filter(({fingerprint}) => this.isSuspect(fingerprint, nowMs)).slice(-limit);
	}

	/** Returns the crash reports of all requests that are refused now. */
	blocked(nowMs: number): readonly CrashReports[] {
		return [...this.#reports.values()].filter(reports => this.isBlocked(reports.fingerprint, nowMs));
	}

	#current(fingerprint: string, nowMs: number): CrashReports | undefined {
		const reports = this.#reports.get(fingerprint);
		return reports !== undefined && nowMs - reports.sinceMs < retentionMs ? reports : undefined;
	}
}

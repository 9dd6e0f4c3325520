import {RouteTimes} from './route-times.js';

/** One execution of a request at an instance. */
type Run = {
	readonly instanceId: string;
	readonly route: string;
	readonly objectKey: string;
	/** Time at the instance without the wait for a slot, in milliseconds; for an abandoned run, the time until it was abandoned. */
	readonly runMs: number;
	/** Whether the run ended with a response. An abandoned run counts only if it had already taken much longer than usual. */
	readonly isEnded: boolean;
};

/** A request to which an instance has not responded yet. */
type PendingRun = {readonly instanceId: string; readonly route: string; readonly objectKey: string; readonly expectedStartMs: number};

type SlownessEstimate = {slowness: number; runs: number; lastRunMs: number};

/** Number of remembered objects at which all of them are evicted. */
const maxRememberedObjects = 10_000;
/** Weight of a new run in an instance's estimate, from 0 to 1. */
const newRunWeight = 0.4;
/** Number of runs that an estimate requires. */
const minRuns = 2;
/** Multiple of the usual time from which an instance counts as slow. */
const slowMinFactor = 2;
/** Time after an instance's latest run for which its estimate is valid. A slow instance receives few requests that could confirm it. */
const estimateValidMs = 5000;

/**
 * Estimates how slow instances are from the requests of one host. A run counts only if the same instance was the last to
 * respond to this host for the same object, so that an object's first run at an instance, which is cold, is not taken for slowness.
 */
export class SlownessEstimator {
	/** Id of the instance that last responded for an object, by route and object. */
	readonly #lastInstanceIds = new Map<string, string>();
	readonly #routeTimes = new RouteTimes();
	readonly #estimates = new Map<string, SlownessEstimate>();
	readonly #pending = new Set<PendingRun>();

	/** Records that a request is sent to an instance. The caller calls `end` when the instance responds or the request is abandoned. */
	trackPending(run: PendingRun): {readonly end: () => void} {
		this.#pending.add(run);
		return {
			end: () => {
				this.#pending.delete(run);
			},
		};
	}

	/** Updates the estimates with the time of a run. */
	recordRun({instanceId, route, objectKey, runMs, isEnded}: Run, nowMs: number): void {
		const object = routeObjectId(route, objectKey);
		const isWarm = this.#isWarm(instanceId, object);
		if (this.#lastInstanceIds.size >= maxRememberedObjects) {
			this.#lastInstanceIds.clear();
		}

		if (isEnded) {
			this.#lastInstanceIds.set(object, instanceId);
		}

		if (!isWarm || (!isEnded && runMs < slowMinFactor * this.#routeTimes.get(route))) {
			return;
		}

		if (isEnded) {
			this.#routeTimes.record(route, runMs);
		}

		const slowness = runMs / this.#routeTimes.get(route);
		const estimate = this.#estimates.get(instanceId) ?? {slowness: 1, runs: 0, lastRunMs: nowMs};
		estimate.slowness += newRunWeight * (slowness - estimate.slowness);
		estimate.runs++;
		estimate.lastRunMs = nowMs;
		this.#estimates.set(instanceId, estimate);
	}

	/** Returns the instances that are slow now, each with the multiple of the usual time that it takes. */
	slowInstances(nowMs: number): Array<[instanceId: string, slowness: number]> {
		for (const [id, {lastRunMs}] of this.#estimates) {
			if (nowMs - lastRunMs > estimateValidMs) {
				this.#estimates.delete(id);
			}
		}

		const slowness = new Map([...this.#estimates].filter(([, estimate]) => estimate.runs >= minRuns).map(([id, estimate]) => [id, estimate.slowness]));
		for (const [id, pendingFactor] of this.#pendingSlowness(nowMs)) {
			slowness.set(id, Math.max(slowness.get(id) ?? 1, pendingFactor));
		}

		return [...slowness].filter(([, value]) => value >= slowMinFactor).map(([id, value]) => [id, Math.round(value * 10) / 10]);
	}

	/** Returns lower bounds of the slowness of instances from runs that are overdue. The second longest run of an instance counts. */
	#pendingSlowness(nowMs: number): Array<[instanceId: string, slowness: number]> {
		const byInstance = new Map<string, number[]>();
		for (const {instanceId, route, objectKey, expectedStartMs} of this.#pending) {
			if (this.#isWarm(instanceId, routeObjectId(route, objectKey))) {
				byInstance.set(instanceId, [...byInstance.get(instanceId) ?? [], (nowMs - expectedStartMs) / this.#routeTimes.get(route)]);
			}
		}

		return [...byInstance]
			.filter(([, values]) => values.length >= minRuns)
			.map(([id, values]) => [id, values.toSorted((a, b) => b - a)[minRuns - 1]!]);
	}

	#isWarm(instanceId: string, object: string): boolean {
		return this.#lastInstanceIds.get(object) === instanceId;
	}
}

function routeObjectId(route: string, objectKey: string): string {
	return `${route}|${objectKey}`;
}

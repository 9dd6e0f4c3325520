import {RouteTimes} from './route-times.js';

type Run = {
	readonly instanceId: string;
	readonly route: string;
	readonly objectKey: string;
	/** Time at the instance without a wait for a slot, in milliseconds; for one that was given up, the time until then. */
	readonly runMs: number;
	/** Whether the run ended; one that was given up says something only if it had taken long by then. */
	readonly isEnded: boolean;
};

/** A request that an instance has not answered yet. */
type PendingRun = {readonly instanceId: string; readonly route: string; readonly objectKey: string; readonly expectedEndOfWaitMs: number};

type Speed = {slowness: number; runs: number; lastMs: number};

/** Objects remembered before all are forgotten. */
const maxObjects = 10_000;
/** Weight of a new run in an instance's estimate. */
const runWeight = 0.4;
/** Runs before an instance is judged. */
const leastRuns = 2;
/** Times the usual time from which an instance counts as slow. */
const slowFrom = 2;
/** Time after the latest run for which a judgement holds, in milliseconds; a slow instance gets few runs that could confirm it. */
const holdMs = 5000;

/**
 * How slow instances are, as one host's requests find them: a run counts only if the same instance answered this host for
 * the same object before, so that an object's first run at an instance is not taken for slowness.
 */
export class InstanceSpeeds {
	readonly #instances = new Map<string, string>();
	readonly #times = new RouteTimes();
	readonly #speeds = new Map<string, Speed>();
	readonly #pending = new Set<PendingRun>();

	/** Notes a request that is sent to an instance; the answer ends it. */
	started(run: PendingRun): {readonly end: () => void} {
		this.#pending.add(run);
		return {
			end: () => {
				this.#pending.delete(run);
			},
		};
	}

	/** Takes in a run. */
	count({instanceId, route, objectKey, runMs, isEnded}: Run, nowMs: number): void {
		const object = nameOf(route, objectKey);
		const isWarm = this.#isWarm(instanceId, object);
		if (this.#instances.size >= maxObjects) {
			this.#instances.clear();
		}

		if (isEnded) {
			this.#instances.set(object, instanceId);
		}

		if (!isWarm || (!isEnded && runMs < slowFrom * this.#times.get(route))) {
			return;
		}

		if (isEnded) {
			this.#times.learn(route, runMs);
		}

		const slowness = runMs / this.#times.get(route);
		const speed = this.#speeds.get(instanceId) ?? {slowness: 1, runs: 0, lastMs: nowMs};
		speed.slowness += runWeight * (slowness - speed.slowness);
		speed.runs++;
		speed.lastMs = nowMs;
		this.#speeds.set(instanceId, speed);
	}

	/** Instances that are slow now, and how many times slower than usual. */
	slow(nowMs: number): Array<[instanceId: string, slowness: number]> {
		for (const [id, {lastMs}] of this.#speeds) {
			if (nowMs - lastMs > holdMs) {
				this.#speeds.delete(id);
			}
		}

		const slowness = new Map([...this.#speeds].filter(([, speed]) => speed.runs >= leastRuns).map(([id, speed]) => [id, speed.slowness]));
		for (const [id, pending] of this.#pendingSlowness(nowMs)) {
			slowness.set(id, Math.max(slowness.get(id) ?? 1, pending));
		}

		return [...slowness].filter(([, value]) => value >= slowFrom).map(([id, value]) => [id, Math.round(value * 10) / 10]);
	}

	/** How slow instances are at the least, by the runs that should have ended; the second longest of an instance counts. */
	#pendingSlowness(nowMs: number): Array<[instanceId: string, slowness: number]> {
		const byInstance = new Map<string, number[]>();
		for (const {instanceId, route, objectKey, expectedEndOfWaitMs} of this.#pending) {
			if (this.#isWarm(instanceId, nameOf(route, objectKey))) {
				byInstance.set(instanceId, [...byInstance.get(instanceId) ?? [], (nowMs - expectedEndOfWaitMs) / this.#times.get(route)]);
			}
		}

		return [...byInstance]
			.filter(([, values]) => values.length >= leastRuns)
			.map(([id, values]) => [id, values.toSorted((a, b) => b - a)[leastRuns - 1]!]);
	}

	#isWarm(instanceId: string, object: string): boolean {
		return this.#instances.get(object) === instanceId;
	}
}

function nameOf(route: string, objectKey: string): string {
	return `${route}|${objectKey}`;
}

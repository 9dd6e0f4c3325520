/** Runs of an instance that are remembered; older ones count for less and less. */
type Runs = {warm: number; cold: number; updatedMs: number};

/** An instance, as far as its runs tell how many objects it stays warm for. */
type JudgedInstance = {readonly id: string; readonly service: string; /** Objects that it serves. */ readonly objects: number};

/** Time constant of the remembered runs, in milliseconds. */
const memoryMs = 4000;
/** Remembered runs from which an instance is judged. */
const leastRuns = 6;
/** Share of cold runs from which an instance serves more objects than it stays warm for. */
const coldShareFrom = 0.25;
/** Share of cold runs up to which it stays warm for all of its objects. */
const warmShareTo = 0.1;
/** Weight of one judgement in a service's estimate. */
const judgementWeight = 0.2;

/**
 * Learns for how many objects an instance of a service stays warm. An instance that forgets the object that was used longest
 * ago answers, of `n` objects asked for alike, the part `kept / n` warm.
 */
export class ObjectCapacity {
	readonly #runs = new Map<string, Runs>();
	readonly #kept = new Map<string, number>();

	/** Estimates by service, where instances were seen to forget objects. */
	get entries(): Array<[service: string, objects: number]> {
		return [...this.#kept].map(([service, objects]) => [service, Math.round(objects * 10) / 10]);
	}

	/** Takes in runs of objects that ran at the instance before. */
	count(instanceId: string, isCold: boolean, nowMs: number): void {
		const runs = this.#runsOf(instanceId, nowMs);
		runs.warm += isCold ? 0 : 1;
		runs.cold += isCold ? 1 : 0;
	}

	/** Judges the instances by what was counted. */
	judge(instances: readonly JudgedInstance[], nowMs: number): void {
		for (const {id, service, objects} of instances) {
			const {warm, cold} = this.#runsOf(id, nowMs);
			const coldShare = cold / (warm + cold);
			const before = this.keptBy(service);
			if (warm + cold < leastRuns) {
				continue;
			}

			if (coldShare >= coldShareFrom) {
				const seen = Math.max(1, objects * (1 - coldShare));
				this.#kept.set(service, before === Number.POSITIVE_INFINITY ? seen : before + (judgementWeight * (Math.min(seen, objects) - before)));
			} else if (coldShare <= warmShareTo && objects > before) {
				this.#kept.set(service, before + (judgementWeight * (objects - before)));
			}
		}

		const present = new Set(instances.map(instance => instance.id));
		for (const id of this.#runs.keys()) {
			if (!present.has(id)) {
				this.#runs.delete(id);
			}
		}
	}

	/** Objects that an instance of a service stays warm for; infinite while none was seen to forget any. */
	keptBy(service: string): number {
		return this.#kept.get(service) ?? Number.POSITIVE_INFINITY;
	}

	#runsOf(instanceId: string, nowMs: number): Runs {
		const runs = this.#runs.get(instanceId) ?? {warm: 0, cold: 0, updatedMs: nowMs};
		const factor = Math.exp(-(nowMs - runs.updatedMs) / memoryMs);
		runs.warm *= factor;
		runs.cold *= factor;
		runs.updatedMs = nowMs;
		this.#runs.set(instanceId, runs);
		return runs;
	}
}

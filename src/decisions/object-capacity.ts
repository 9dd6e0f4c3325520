/** Runs of an instance that are remembered; older ones count for less and less. */
type Runs = {warm: number; cold: number; updatedMs: number};

/** An instance, as far as its runs tell how many objects it stays warm for. */
type JudgedInstance = {readonly id: string; readonly service: string; /** Objects that it serves. */ readonly objects: number};

/** Time constant of the remembered runs, in milliseconds. */
const memoryMs = 4000;
/** Remembered runs from which an instance is judged. */
const leastRuns = 6;
/** Share of cold runs from which an instance shows that it forgets objects. */
const forgettingFrom = 0.25;
/** Share of cold runs up to which it shows that it stays warm for all of its objects. */
const warmTo = 0.1;
/** Instances that have to show the same: a single one may be slow, or have lost its memory by a restart. */
const leastForgetting = 2;
/** Part of the estimate from which an instance's objects are enough to tell: with fewer, cold runs have other reasons, such as requests that strayed there. */
const tellingPart = 0.5;
/** Weight of the instances' latest judgement in a service's estimate. */
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
		for (const service of new Set(instances.map(instance => instance.service))) {
			this.#judgeService(service, instances.filter(instance => instance.service === service), nowMs);
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

	/** Only instances that forget although they have no fewer objects than those that stay warm tell of a limit; the one that stays warm for most counts. */
	#judgeService(service: string, instances: readonly JudgedInstance[], nowMs: number): void {
		const before = this.keptBy(service);
		const judged = instances
			.map(({id, objects}) => ({objects, ...this.#runsOf(id, nowMs)}))
			.filter(({warm, cold}) => warm + cold >= leastRuns)
			.map(({objects, warm, cold}) => ({objects, coldShare: cold / (warm + cold)}));
		const warmFor = Math.max(1, ...judged.filter(({coldShare}) => coldShare <= warmTo).map(({objects}) => objects));
		const forgetting = judged.filter(({objects, coldShare}) =>
			coldShare >= forgettingFrom && objects >= warmFor && (before === Number.POSITIVE_INFINITY || objects >= tellingPart * before));
		const seen = Math.max(warmFor, ...forgetting.map(({objects, coldShare}) => objects * (1 - coldShare)));
		if (before === Number.POSITIVE_INFINITY) {
			if (forgetting.length >= leastForgetting) {
				this.#kept.set(service, seen);
			}
		} else if (seen > before || forgetting.length >= leastForgetting) {
			this.#kept.set(service, before + (judgementWeight * (seen - before)));
		}
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

/** Numbers of warm and cold runs of an instance. Both decay exponentially. */
type RunCounts = {warm: number; cold: number; updatedMs: number};

/** An instance whose runs show how many objects it stays warm for. */
type ObservedInstance = {readonly id: string; readonly service: string; /** Number of objects that it serves. */ readonly objects: number};

/** Time constant of the exponential decay of the counts. */
const decayTimeMs = 4000;
/** Sum of an instance's decayed counts from which it is taken into account. */
const minRuns = 6;
/** Share of cold runs from which an instance counts as evicting objects. */
const evictingMinColdShare = 0.25;
/** Share of cold runs up to which an instance counts as warm for all of its objects. */
const warmMaxColdShare = 0.1;
/** Number of evicting instances that an estimate requires: a single one may be slow, or have lost its cache by a restart. */
const minEvictingInstances = 2;
/**
 * Share of the estimate that an instance's number of objects has to reach for its cold runs to count: with fewer objects, cold
 * runs have other causes, such as requests that were sent there instead of to the assigned instance.
 */
const minObjectsShare = 0.5;
/** Weight of the latest observation in a service's estimate, from 0 to 1. */
const newObservationWeight = 0.2;

/**
 * Estimates for how many objects an instance of a service stays warm. An instance that evicts the least recently used object
 * is warm for the share `capacity / n` of its runs when `n` objects are requested equally often.
 */
export class ObjectCapacity {
	readonly #runCounts = new Map<string, RunCounts>();
	readonly #capacities = new Map<string, number>();

	/** Estimated capacities in objects by service, for the services whose instances were observed to evict objects. */
	get entries(): Array<[service: string, objects: number]> {
		return [...this.#capacities].map(([service, objects]) => [service, Math.round(objects * 10) / 10]);
	}

	/** Records a run of an object that had run at the instance before. */
	recordRun(instanceId: string, isCold: boolean, nowMs: number): void {
		const counts = this.#runCountsOf(instanceId, nowMs);
		counts.warm += isCold ? 0 : 1;
		counts.cold += isCold ? 1 : 0;
	}

	/** Updates the estimates from the recorded runs; `instances` are those that are present and not busy. */
	update(instances: readonly ObservedInstance[], nowMs: number): void {
		for (const service of new Set(instances.map(instance => instance.service))) {
			this.#updateService(service, instances.filter(instance => instance.service === service), nowMs);
		}

		const present = new Set(instances.map(instance => instance.id));
		for (const id of this.#runCounts.keys()) {
			if (!present.has(id)) {
				this.#runCounts.delete(id);
			}
		}
	}

	/** Returns the number of objects that an instance of a service stays warm for; infinite while no eviction has been observed. */
	capacityOf(service: string): number {
		return this.#capacities.get(service) ?? Number.POSITIVE_INFINITY;
	}

	/**
	 * Updates the estimate of one service. Evictions show a limit only at instances with at least as many objects as every instance
	 * that stays warm; the highest capacity among all these instances counts.
	 */
	#updateService(service: string, instances: readonly ObservedInstance[], nowMs: number): void {
		const before = this.capacityOf(service);
		const observed = instances
			.map(({id, objects}) => ({objects, ...this.#runCountsOf(id, nowMs)}))
			.filter(({warm, cold}) => warm + cold >= minRuns)
			.map(({objects, warm, cold}) => ({objects, coldShare: cold / (warm + cold)}));
		const maxWarmObjects = Math.max(1, ...observed.filter(({coldShare}) => coldShare <= warmMaxColdShare).map(({objects}) => objects));
		const evicting = observed.filter(({objects, coldShare}) =>
			coldShare >= evictingMinColdShare && objects >= maxWarmObjects && (before === Number.POSITIVE_INFINITY || objects >= minObjectsShare * before));
		const observedCapacity = Math.max(maxWarmObjects, ...evicting.map(({objects, coldShare}) => objects * (1 - coldShare)));
		if (before === Number.POSITIVE_INFINITY) {
			if (evicting.length >= minEvictingInstances) {
				this.#capacities.set(service, observedCapacity);
			}
		} else if (observedCapacity > before || evicting.length >= minEvictingInstances) {
			this.#capacities.set(service, before + (newObservationWeight * (observedCapacity - before)));
		}
	}

	#runCountsOf(instanceId: string, nowMs: number): RunCounts {
		const counts = this.#runCounts.get(instanceId) ?? {warm: 0, cold: 0, updatedMs: nowMs};
		const factor = Math.exp(-(nowMs - counts.updatedMs) / decayTimeMs);
		counts.warm *= factor;
		counts.cold *= factor;
		counts.updatedMs = nowMs;
		this.#runCounts.set(instanceId, counts);
		return counts;
	}
}

import {minDemandSlots} from './min-demand-slots.js';

/** An instance that accepts requests. */
type PlanInstance = {readonly id: string; readonly service: string; readonly region: string; readonly slots: number};

type PoolOptions = {
	readonly name: string;
	readonly instances: readonly PlanInstance[];
	/** The planner's own region. */
	readonly region: string;
	/** Returns the slots of an instance that requests other than those for the pool's objects keep busy. */
	readonly otherBusySlotsOf: (instanceId: string) => number;
	/** Number of objects that an instance stays warm for. */
	readonly objectCapacity: number;
};

/** Utilization, from 0 to 1, attributed to an instance with as many requested objects as it stays warm for. */
const fullCacheUtilization = 0.7;

/** The instances that serve the same objects, with their utilization by busy slots and by objects. */
export class PoolUsage {
	readonly name: string;
	readonly instances: readonly PlanInstance[];
	/** Instances in the planner's own region. */
	readonly localInstances: readonly PlanInstance[];
	/** Number of slots of the local instances. */
	readonly localSlots: number;
	readonly #byId: ReadonlyMap<string, PlanInstance>;
	/** Busy slots by instance id. */
	readonly #busySlots: Map<string, number>;
	/** Number of requested objects by instance id. */
	readonly #objectCounts: Map<string, number>;
	readonly #objectCapacity: number;

	constructor({
		name, instances, region, otherBusySlotsOf, objectCapacity,
	}: PoolOptions) {
		this.name = name;
		this.instances = instances;
		this.localInstances = instances.filter(instance => instance.region === region);
		this.localSlots = this.localInstances.reduce((sum, instance) => sum + instance.slots, 0);
		this.#byId = new Map(instances.map(instance => [instance.id, instance]));
		this.#busySlots = new Map(instances.map(instance => [instance.id, otherBusySlotsOf(instance.id)]));
		this.#objectCounts = new Map(instances.map(instance => [instance.id, 0]));
		this.#objectCapacity = objectCapacity;
	}

	/** Number of busy slots of the local instances. */
	get localBusySlots(): number {
		return this.localInstances.reduce((sum, instance) => sum + this.#busySlots.get(instance.id)!, 0);
	}

	/** Utilization of the local instances together: the higher of that by busy slots and that by objects. */
	get localUtilization(): number {
		const objects = this.localInstances.reduce((sum, instance) => sum + this.#objectCounts.get(instance.id)!, 0);
		return Math.max(this.localBusySlots / this.localSlots, fullCacheUtilization * objects / (this.#objectCapacity * this.localInstances.length));
	}

	get(instanceId: string): PlanInstance | undefined {
		return this.#byId.get(instanceId);
	}

	/** Adds an object that keeps this number of slots busy to an instance, if the instance belongs to the pool. */
	add(instanceId: string, slots: number): void {
		this.#adjust(instanceId, slots, requestedObjectCount(slots));
	}

	/** Removes an object that keeps this number of slots busy from an instance, if the instance belongs to the pool. */
	remove(instanceId: string, slots: number): void {
		this.#adjust(instanceId, -slots, -requestedObjectCount(slots));
	}

	/** Returns the number of the pool's requested objects at an instance. */
	countObjects(instance: PlanInstance): number {
		return this.#objectCounts.get(instance.id)!;
	}

	/** Returns the utilization of an instance's slots. Above 1 its queue grows. */
	slotUtilization(instance: PlanInstance): number {
		return this.#busySlots.get(instance.id)! / instance.slots;
	}

	/** Returns the utilization of an instance: the higher of that by busy slots and that by objects. */
	utilization(instance: PlanInstance): number {
		return Math.max(this.slotUtilization(instance), fullCacheUtilization * this.countObjects(instance) / this.#objectCapacity);
	}

	leastUtilized(instances: readonly PlanInstance[]): PlanInstance | undefined {
		return maxBy(instances, instance => -this.utilization(instance));
	}

	/** Returns the local instance with the highest utilization. */
	mostUtilizedLocal(): PlanInstance | undefined {
		return maxBy(this.localInstances, instance => this.utilization(instance));
	}

	#adjust(instanceId: string, slots: number, objects: number): void {
		const busySlots = this.#busySlots.get(instanceId);
		if (busySlots !== undefined) {
			this.#busySlots.set(instanceId, busySlots + slots);
			this.#objectCounts.set(instanceId, this.#objectCounts.get(instanceId)! + objects);
		}
	}
}

/** Returns 1 for an object that counts as requested, otherwise 0. */
function requestedObjectCount(slots: number): number {
	return slots > minDemandSlots ? 1 : 0;
}

/** Returns the first of the instances for which `valueOf` is highest. */
function maxBy(instances: readonly PlanInstance[], valueOf: (instance: PlanInstance) => number): PlanInstance | undefined {
	let best: PlanInstance | undefined;
	for (const instance of instances) {
		if (best === undefined || valueOf(instance) > valueOf(best)) {
			best = instance;
		}
	}

	return best;
}

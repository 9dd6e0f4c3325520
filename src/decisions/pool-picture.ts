import {leastDemand} from './least-demand.js';

/** An instance that takes work. */
type PlanInstance = {readonly id: string; readonly service: string; readonly region: string; readonly slots: number};

type PictureOptions = {
	readonly name: string;
	readonly instances: readonly PlanInstance[];
	/** The planner's own region. */
	readonly region: string;
	/** Slots of an instance that others than the pool's objects keep busy. */
	readonly busyOf: (instanceId: string) => number;
	/** Objects that an instance stays warm for. */
	readonly kept: number;
};

/** Share of its room that an instance with as many objects as it stays warm for counts as using. */
const keptShare = 0.7;

/** The instances that serve the same objects, and how busy they are. */
export class PoolPicture {
	readonly name: string;
	readonly instances: readonly PlanInstance[];
	/** Those of the planner's own region. */
	readonly own: readonly PlanInstance[];
	/** Slots of the own instances. */
	readonly ownSlots: number;
	readonly #byId: ReadonlyMap<string, PlanInstance>;
	/** Busy slots by instance. */
	readonly #busy: Map<string, number>;
	/** Objects that are asked for, by instance. */
	readonly #objects: Map<string, number>;
	readonly #kept: number;

	constructor({
		name, instances, region, busyOf, kept,
	}: PictureOptions) {
		this.name = name;
		this.instances = instances;
		this.own = instances.filter(instance => instance.region === region);
		this.ownSlots = this.own.reduce((sum, instance) => sum + instance.slots, 0);
		this.#byId = new Map(instances.map(instance => [instance.id, instance]));
		this.#busy = new Map(instances.map(instance => [instance.id, busyOf(instance.id)]));
		this.#objects = new Map(instances.map(instance => [instance.id, 0]));
		this.#kept = kept;
	}

	/** Busy slots of the own instances. */
	get ownBusy(): number {
		return this.own.reduce((sum, instance) => sum + this.#busy.get(instance.id)!, 0);
	}

	/** Share of the own instances' room that is used, in slots or in objects that they stay warm for. */
	get ownShare(): number {
		const objects = this.own.reduce((sum, instance) => sum + this.#objects.get(instance.id)!, 0);
		return Math.max(this.ownBusy / this.ownSlots, keptShare * objects / (this.#kept * this.own.length));
	}

	get(instanceId: string): PlanInstance | undefined {
		return this.#byId.get(instanceId);
	}

	/** Adds an object that keeps slots busy to an instance, if it belongs to the pool. */
	add(instanceId: string, slots: number): void {
		this.#change(instanceId, slots, isAsked(slots));
	}

	/** Takes an object from an instance, if it belongs to the pool. */
	remove(instanceId: string, slots: number): void {
		this.#change(instanceId, -slots, -isAsked(slots));
	}

	/** Objects of the pool at an instance that are asked for. */
	objectsAt(instance: PlanInstance): number {
		return this.#objects.get(instance.id)!;
	}

	/** Busy share of an instance; above 1 its queue grows. */
	busyShare(instance: PlanInstance): number {
		return this.#busy.get(instance.id)! / instance.slots;
	}

	/** Share of an instance's room that is used, in slots or in objects that it stays warm for. */
	share(instance: PlanInstance): number {
		return Math.max(this.busyShare(instance), keptShare * this.objectsAt(instance) / this.#kept);
	}

	leastBusy(instances: readonly PlanInstance[]): PlanInstance | undefined {
		return extreme(instances, instance => -this.share(instance));
	}

	/** The busiest instance of the own region. */
	busiestOwn(): PlanInstance | undefined {
		return extreme(this.own, instance => this.share(instance));
	}

	#change(instanceId: string, slots: number, objects: number): void {
		const busy = this.#busy.get(instanceId);
		if (busy !== undefined) {
			this.#busy.set(instanceId, busy + slots);
			this.#objects.set(instanceId, this.#objects.get(instanceId)! + objects);
		}
	}
}

function isAsked(slots: number): number {
	return slots > leastDemand ? 1 : 0;
}

/** The first of the instances for which `weigh` is highest. */
function extreme(instances: readonly PlanInstance[], weigh: (instance: PlanInstance) => number): PlanInstance | undefined {
	let best: PlanInstance | undefined;
	for (const instance of instances) {
		if (best === undefined || weigh(instance) > weigh(best)) {
			best = instance;
		}
	}

	return best;
}

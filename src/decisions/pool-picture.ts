/** An instance that takes work. */
type PlanInstance = {readonly id: string; readonly service: string; readonly region: string; readonly slots: number};

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

	/** `busyOf` answers the slots of an instance that others than the pool's objects keep busy. */
	constructor(name: string, instances: readonly PlanInstance[], region: string, busyOf: (instanceId: string) => number) {
		this.name = name;
		this.instances = instances;
		this.own = instances.filter(instance => instance.region === region);
		this.ownSlots = this.own.reduce((sum, instance) => sum + instance.slots, 0);
		this.#byId = new Map(instances.map(instance => [instance.id, instance]));
		this.#busy = new Map(instances.map(instance => [instance.id, busyOf(instance.id)]));
	}

	/** Busy slots of the own instances. */
	get ownBusy(): number {
		return this.own.reduce((sum, instance) => sum + this.#busy.get(instance.id)!, 0);
	}

	/** Busy share of the own instances. */
	get ownShare(): number {
		return this.ownBusy / this.ownSlots;
	}

	get(instanceId: string): PlanInstance | undefined {
		return this.#byId.get(instanceId);
	}

	/** Adds to the busy slots of an instance, if it belongs to the pool. */
	add(instanceId: string, slots: number): void {
		const busy = this.#busy.get(instanceId);
		if (busy !== undefined) {
			this.#busy.set(instanceId, busy + slots);
		}
	}

	/** Busy share of an instance; above 1 its queue grows. */
	share(instance: PlanInstance): number {
		return this.#busy.get(instance.id)! / instance.slots;
	}

	leastBusy(instances: readonly PlanInstance[]): PlanInstance | undefined {
		return extreme(instances, instance => -this.share(instance));
	}

	/** The busiest instance of the own region. */
	busiestOwn(): PlanInstance | undefined {
		return extreme(this.own, instance => this.share(instance));
	}
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

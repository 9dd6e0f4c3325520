import {initialReservedCount} from './initial-reserved-count.js';
import {reservationOrder} from './reservation-order.js';

/** An instance of the own region. */
type LocalInstance = {readonly id: string; readonly slots: number};

/** Inputs that determine how many instances of a service are reserved for its most urgent requests. */
type ReserveInputs<T> = {
	readonly service: string;
	/** Instances of the service in the own region. */
	readonly localInstances: readonly T[];
	/** Number of slots that the most urgent requests keep busy. */
	readonly urgentDemandSlots: number;
	/** Number of slots that the requests of all priorities keep busy. */
	readonly totalDemandSlots: number;
	/** Number of objects of the most urgent requests. */
	readonly urgentObjectCount: number;
	/** Number of objects that an instance stays warm for. */
	readonly objectCapacity: number;
	readonly isSlow: (instanceId: string) => boolean;
};

/** Utilization of the reserved instances above which more instances are reserved, and below which fewer are. */
const growAboveUtilization = 0.45;
const shrinkBelowUtilization = 0.25;
/** Highest share of its capacity in objects to which a reserved instance is filled. */
const maxCacheFillShare = 0.75;
/** Utilization of the other instances up to which more instances are reserved than the load requires, so that these stay warm. */
const maxOtherUtilization = 0.6;
/** Shortest time between two reductions of the reserve: each of them moves objects to instances that are cold for them. */
const shrinkIntervalMs = 3000;
/** Time after a service's first request in which its demand counts as unknown. */
const learningMs = 3000;

/** The region's instances that are reserved for the most urgent requests of their service, so that these do not wait behind long requests. */
export class UrgentReserve {
	/** Ids of the reserved instances by service. */
	readonly #reserved = new Map<string, ReadonlySet<string>>();
	/** Monotonic time of the first request by service. */
	readonly #firstRequestMs = new Map<string, number>();
	/** Monotonic time of the latest reduction by service. */
	readonly #lastShrunkMs = new Map<string, number>();

	/** Ids of all reserved instances. */
	get ids(): string[] {
		return [...this.#reserved.values()].flatMap(ids => [...ids]);
	}

	has(service: string, instanceId: string): boolean {
		return this.#reserved.get(service)?.has(instanceId) === true;
	}

	/** Records that a service receives requests. Only the first call for a service has an effect. */
	recordRequested(service: string, nowMs: number): void {
		if (!this.#firstRequestMs.has(service)) {
			this.#firstRequestMs.set(service, nowMs);
		}
	}

	/** Ends the reservation of all instances of a service. */
	release(service: string): void {
		this.#reserved.delete(service);
	}

	/**
	 * Chooses and reserves a service's instances: enough for the load and for the objects, and at least the most urgent requests'
	 * share of the load. One instance remains for the other requests, unless the region has only one. Slow instances are chosen last.
	 */
	choose<T extends LocalInstance>(inputs: ReserveInputs<T>, nowMs: number): readonly T[] {
		const {service, localInstances, isSlow} = inputs;
		const count = this.#count(inputs, nowMs);
		const order = reservationOrder(service, localInstances, instance => instance.id);
		const chosen = [...order.filter(instance => !isSlow(instance.id)), ...order.filter(instance => isSlow(instance.id))].slice(0, count);
		this.#reserved.set(service, new Set(chosen.map(instance => instance.id)));
		return chosen;
	}

	#count({service, localInstances, urgentDemandSlots, totalDemandSlots, urgentObjectCount, objectCapacity}: ReserveInputs<LocalInstance>, nowMs: number): number {
		const meanSlots = localInstances.reduce((sum, instance) => sum + instance.slots, 0) / localInstances.length;
		const urgentShare = urgentDemandSlots === 0 ? 0 : urgentDemandSlots / totalDemandSlots;
		const currentCount = localInstances.filter(instance => this.has(service, instance.id)).length;
		const otherCount = Math.ceil((totalDemandSlots - urgentDemandSlots) / (maxOtherUtilization * meanSlots));
		const countForObjects = Math.min(Math.ceil(urgentObjectCount / (maxCacheFillShare * objectCapacity)), localInstances.length - otherCount);
		const minCount = Math.max(Math.ceil(urgentDemandSlots / (growAboveUtilization * meanSlots)), Math.floor(urgentShare * localInstances.length), countForObjects);
		const maxCount = Math.max(Math.ceil(urgentDemandSlots / (shrinkBelowUtilization * meanSlots)), minCount);
		const isLearning = nowMs - (this.#firstRequestMs.get(service) ?? nowMs) < learningMs;
		const wantedCount = Math.max(isLearning ? initialReservedCount(localInstances.length) : 1, minCount, Math.min(maxCount, currentCount));
		return Math.max(1, Math.min(localInstances.length - 1, wantedCount < currentCount ? this.#shrink(service, currentCount, nowMs) : wantedCount));
	}

	/** Returns the current count less one, or the current count if the last reduction is too recent. */
	#shrink(service: string, currentCount: number, nowMs: number): number {
		if (nowMs - (this.#lastShrunkMs.get(service) ?? Number.NEGATIVE_INFINITY) < shrinkIntervalMs) {
			return currentCount;
		}

		this.#lastShrunkMs.set(service, nowMs);
		return currentCount - 1;
	}
}

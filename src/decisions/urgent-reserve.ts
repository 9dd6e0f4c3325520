import {initialUrgentCount} from './initial-urgent-count.js';
import {urgentOrder} from './urgent-order.js';

/** An instance of the own region. */
type OwnInstance = {readonly id: string; readonly slots: number};

/** What decides how many instances of a service are kept for its most urgent requests. */
type Needs<T> = {
	readonly service: string;
	/** Instances of the region. */
	readonly own: readonly T[];
	/** Slots that the most urgent requests keep busy. */
	readonly urgentDemand: number;
	/** Slots that the requests of all priorities keep busy. */
	readonly totalDemand: number;
	/** Objects of the most urgent requests. */
	readonly urgentObjects: number;
	/** Objects that an instance stays warm for. */
	readonly kept: number;
	readonly isSlow: (instanceId: string) => boolean;
};

/** Busy share of the reserved instances above which there are more of them, and below which fewer. */
const reserveBusyShare = 0.45;
const reserveIdleShare = 0.25;
/** Part of the objects that an instance stays warm for up to which the reserved instances are filled. */
const reserveFill = 0.75;
/** Busy share of the other instances up to which there are more reserved ones than the load asks for, so that they stay warm. */
const othersBusyShare = 0.6;
/** Time between two steps by which fewer instances are reserved, in milliseconds: each step makes objects run where they are not warm. */
const shrinkMs = 3000;
/** Time in which a service's requests only show their loads, in milliseconds. */
const unknownMs = 3000;

/** The region's instances that are kept for the most urgent requests of their service, so that these wait behind nothing long. */
export class UrgentReserve {
	readonly #reserved = new Map<string, ReadonlySet<string>>();
	/** Moment of the first requests for each service, in monotonic milliseconds. */
	readonly #askedSinceMs = new Map<string, number>();
	readonly #shrunkMs = new Map<string, number>();

	/** Ids of all reserved instances. */
	get ids(): string[] {
		return [...this.#reserved.values()].flatMap(ids => [...ids]);
	}

	has(service: string, instanceId: string): boolean {
		return this.#reserved.get(service)?.has(instanceId) === true;
	}

	/** Notes that a service is asked for; what it needs is unknown for a time after the first request. */
	noteAsked(service: string, nowMs: number): void {
		if (!this.#askedSinceMs.has(service)) {
			this.#askedSinceMs.set(service, nowMs);
		}
	}

	/** Keeps no instance of a service any longer. */
	release(service: string): void {
		this.#reserved.delete(service);
	}

	/**
	 * Chooses a service's instances: enough for the load and for the objects, and no fewer than their part of the load, as long
	 * as one is left for the others; the only one if there are no more. Slow instances are the last to be chosen.
	 */
	choose<T extends OwnInstance>(needs: Needs<T>, nowMs: number): readonly T[] {
		const {service, own, isSlow} = needs;
		const count = this.#count(needs, nowMs);
		const order = urgentOrder(service, own, instance => instance.id);
		const chosen = [...order.filter(instance => !isSlow(instance.id)), ...order.filter(instance => isSlow(instance.id))].slice(0, count);
		this.#reserved.set(service, new Set(chosen.map(instance => instance.id)));
		return chosen;
	}

	#count({service, own, urgentDemand, totalDemand, urgentObjects, kept}: Needs<OwnInstance>, nowMs: number): number {
		const slots = own.reduce((sum, instance) => sum + instance.slots, 0) / own.length;
		const part = urgentDemand === 0 ? 0 : urgentDemand / totalDemand;
		const current = own.filter(instance => this.has(service, instance.id)).length;
		const othersNeed = Math.ceil((totalDemand - urgentDemand) / (othersBusyShare * slots));
		const forObjects = Math.min(Math.ceil(urgentObjects / (reserveFill * kept)), own.length - othersNeed);
		const least = Math.max(Math.ceil(urgentDemand / (reserveBusyShare * slots)), Math.floor(part * own.length), forObjects);
		const most = Math.max(Math.ceil(urgentDemand / (reserveIdleShare * slots)), least);
		const isUnknown = nowMs - (this.#askedSinceMs.get(service) ?? nowMs) < unknownMs;
		const wanted = Math.max(isUnknown ? initialUrgentCount(own.length) : 1, least, Math.min(most, current));
		return Math.max(1, Math.min(own.length - 1, wanted < current ? this.#shrink(service, current, nowMs) : wanted));
	}

	/** One instance fewer, if the last step is long enough ago. */
	#shrink(service: string, current: number, nowMs: number): number {
		if (nowMs - (this.#shrunkMs.get(service) ?? Number.NEGATIVE_INFINITY) < shrinkMs) {
			return current;
		}

		this.#shrunkMs.set(service, nowMs);
		return current - 1;
	}
}

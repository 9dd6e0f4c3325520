import {rendezvousOrder} from './rendezvous-order.js';

/** Returns the order in which a region's instances of a service are reserved for its most urgent requests. */
export function reservationOrder<T>(service: string, instances: readonly T[], idOf: (instance: T) => string): T[] {
	return rendezvousOrder(`${service}|urgent`, instances, idOf);
}

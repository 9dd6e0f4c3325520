import {rendezvousOrder} from './rendezvous-order.js';

/** The order in which a region's instances of a service are kept for its most urgent requests. */
export function urgentOrder<T>(service: string, instances: readonly T[], idOf: (instance: T) => string): T[] {
	return rendezvousOrder(`${service}|urgent`, instances, idOf);
}

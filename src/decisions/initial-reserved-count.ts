/** Share of a region's instances that is reserved for the most urgent requests until loads are known. */
const initialReservedShare = 0.25;

/** Returns how many of a region's instances of a service are reserved for its most urgent requests until loads are known. */
export function initialReservedCount(instances: number): number {
	return Math.max(1, Math.floor(initialReservedShare * instances));
}

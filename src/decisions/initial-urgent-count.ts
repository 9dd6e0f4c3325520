/** Part of a region's instances that is kept for the most urgent requests until loads are known. */
const initialPart = 0.25;

/** How many of a region's instances of a service are kept for its most urgent requests until loads are known. */
export function initialUrgentCount(instances: number): number {
	return Math.max(1, Math.floor(initialPart * instances));
}

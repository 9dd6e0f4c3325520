/** Separates the object from its regions; no header value contains it. */
const separator = '\n';

/**
 * Keys by which objects are assigned to instances. Accounts with other regions may request the same object: it then has an assignment for
 * each set of regions, so that the regions of one account do not bind the others.
 */
export const scopedObjectKey = {
	/** Returns the key of an object for requests that may run in `regions`, where the route allows `routeRegions`. */
	of: (objectKey: string, regions: readonly string[], routeRegions: readonly string[]): string =>
		(regions.length === routeRegions.length ? objectKey : [objectKey, ...regions.toSorted()].join(separator)),

	/** Returns the object's own key. It determines the order of instances, so that the assignments of an object agree where they can. */
	plain: (key: string): string => key.split(separator, 1)[0]!,
} as const;

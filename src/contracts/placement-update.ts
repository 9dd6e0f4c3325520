import {z} from 'zod';

/** Response of a planner to a host's report: the assignments of objects to instances that changed since the host's version. */
export const PlacementUpdate = z.object({
	/** Version of the assignments with these changes. */
	version: z.int().min(0),
	/** Service, its most urgent priority, and the instances that serve only requests of that priority. */
	reserved: z.array(z.tuple([z.string(), z.int().min(0), z.array(z.string())])),
	/** Object and instance; an empty instance means that the assignment is withdrawn. */
	entries: z.array(z.tuple([z.string(), z.string()])),
	/** Service and the priorities of its requests in the region, most urgent first; only if the configuration has accounts. */
	inUse: z.array(z.tuple([z.string(), z.array(z.int().min(0))])).optional(),
	/** Id, start time and address of each listed instance that stated to a host of the region that it is leaving. */
	leaving: z.array(z.tuple([z.string(), z.int(), z.string()])).optional(),
});

/** Response of a planner to a host's report. */
export type PlacementUpdate = Readonly<z.infer<typeof PlacementUpdate>>;

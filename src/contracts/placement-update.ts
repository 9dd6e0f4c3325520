import {z} from 'zod';

/** Assignments of objects to instances that a host lacks. */
export const PlacementUpdate = z.object({
	version: z.int().min(0),
	/** Service, its most urgent priority, and the instances that serve only requests of that priority. */
	reserved: z.array(z.tuple([z.string(), z.int().min(0), z.array(z.string())])),
	/** Object and instance; an empty instance withdraws the assignment. */
	entries: z.array(z.tuple([z.string(), z.string()])),
});

/** Assignments of objects to instances that a host lacks. */
export type PlacementUpdate = Readonly<z.infer<typeof PlacementUpdate>>;

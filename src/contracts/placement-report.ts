import {z} from 'zod';

/** Report of a host to its region's planner on the requests since its last report: demand of the objects, and response times. */
export const PlacementReport = z.object({
	/** Id of the host. */
	host: z.string().max(253),
	/** Version of the host's assignments. */
	haveVersion: z.int().min(0),
	/** The host's assignments, as object and instance, in its first report to a planner; empty in later ones. */
	known: z.array(z.tuple([z.string(), z.string()])),
	/** Service, route, and the shortest response time of a request that did not wait at its instance, in milliseconds. */
	routes: z.array(z.tuple([z.string(), z.string(), z.number().min(0)])),
	/** Slow instance by the host's estimate, and how many times slower than usual it is. */
	slow: z.array(z.tuple([z.string(), z.number().min(1)])),
	/** Id, start time and address of each listed instance that stated to the host that it is leaving; hosts of earlier releases report none. */
	leaving: z.array(z.tuple([z.string(), z.int(), z.string()])).optional(),
	/** Instance that asked the host for a pause, and the rest of it in milliseconds. */
	paused: z.array(z.tuple([z.string(), z.number().min(0)])).optional(),
	/** Service, route, priority, object, and the mean time of its runs at its assigned instance, without the wait there, in milliseconds. */
	runs: z.array(z.tuple([z.string(), z.string(), z.int().min(0), z.string(), z.number().min(0)])),
	/** Service, route, priority, object, number of requests, and the regions in which the route's requests may run; empty for all. */
	objects: z.array(z.tuple([z.string(), z.string(), z.int().min(0), z.string(), z.int().min(1), z.array(z.string())])),
});

/** Report of a host to its region's planner. */
export type PlacementReport = Readonly<z.infer<typeof PlacementReport>>;

import {z} from 'zod';

/** What one host saw since its last report: which objects were asked for, and how long unqueued answers took. */
export const PlacementReport = z.object({
	/** Id of the host. */
	host: z.string().max(253),
	/** Version of the assignments that the host has. */
	haveVersion: z.int().min(0),
	/** The assignments that the host has, object and instance, when it reports to a planner for the first time; empty later. */
	known: z.array(z.tuple([z.string(), z.string()])),
	/** Service, route, and the shortest time of an answer that did not wait at its instance, in milliseconds. */
	routes: z.array(z.tuple([z.string(), z.string(), z.number().min(0)])),
	/** Instance that the host finds slow, and how many times slower than usual. */
	slow: z.array(z.tuple([z.string(), z.number().min(1)])),
	/** Service, route, priority, object, and the mean time of its runs at the instance to which it is assigned, without a wait there, in milliseconds. */
	runs: z.array(z.tuple([z.string(), z.string(), z.int().min(0), z.string(), z.number().min(0)])),
	/** Service, route, priority, object, requests, and the regions to which the route is confined. */
	objects: z.array(z.tuple([z.string(), z.string(), z.int().min(0), z.string(), z.int().min(1), z.array(z.string())])),
});

/** What one host saw since its last report. */
export type PlacementReport = Readonly<z.infer<typeof PlacementReport>>;

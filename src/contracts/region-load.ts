import {z} from 'zod';

/** Load of a region, reported by its planner to the planners of the other regions. */
export const RegionLoad = z.object({
	region: z.string().max(63),
	/** Pool as `service|rest` or `service|urgent`, slots of the region's instances that accept requests, and busy slots; without such an instance, the slots that the pool's demand would occupy. */
	pools: z.array(z.tuple([z.string(), z.number().min(0), z.number().min(0)])),
	/** Pool, other region, and the slots of this region that the other region's requests may occupy. */
	offers: z.array(z.tuple([z.string(), z.string(), z.number().min(0)])),
	/** Reserved instances, which serve only the most urgent requests of their service. */
	reserved: z.array(z.string()),
	/** Service and route as `service|route`, and the time of a request at a warm instance, in milliseconds. */
	times: z.array(z.tuple([z.string(), z.number().min(0)])),
	/** Local or remote instance, and the number of its slots that this region's requests occupy. */
	uses: z.array(z.tuple([z.string(), z.number().min(0)])),
});

/** Load of a region, reported to the planners of the other regions. */
export type RegionLoad = Readonly<z.infer<typeof RegionLoad>>;

import {z} from 'zod';

/** What a region's planner tells the planners of the other regions. */
export const RegionLoad = z.object({
	region: z.string().max(63),
	/** Pool, slots that take work here, and slots kept busy. */
	pools: z.array(z.tuple([z.string(), z.number().min(0), z.number().min(0)])),
	/** Pool, region, and the slots that the region's requests may keep busy here. */
	offers: z.array(z.tuple([z.string(), z.string(), z.number().min(0)])),
	/** Instances that serve only the most urgent requests of their service. */
	reserved: z.array(z.string()),
	/** Route of a service, and the time of its requests at a warm instance in milliseconds. */
	times: z.array(z.tuple([z.string(), z.number().min(0)])),
	/** Instance, here or in another region, and the slots that this region's requests keep busy there. */
	uses: z.array(z.tuple([z.string(), z.number().min(0)])),
});

/** What a region's planner tells the planners of the other regions. */
export type RegionLoad = Readonly<z.infer<typeof RegionLoad>>;

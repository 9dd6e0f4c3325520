import {z} from 'zod';
import {Member} from './member.js';

/** Summary of a region for the other regions: some of its hosts. A higher version replaces a lower one. */
export const RegionSummary = z.object({
	region: z.string().max(63),
	version: z.int().min(0),
	hosts: z.array(Member).max(8),
});

/** Summary of a region for the other regions. */
export type RegionSummary = Readonly<z.infer<typeof RegionSummary>>;

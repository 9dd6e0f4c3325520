import {z} from 'zod';
import {Member} from './member.js';

/** What other regions know of a region: some of its hosts. A higher version replaces a lower one. */
export const RegionSummary = z.object({
	region: z.string().max(63),
	version: z.int().min(0),
	hosts: z.array(Member).max(8),
});

/** What other regions know of a region. */
export type RegionSummary = Readonly<z.infer<typeof RegionSummary>>;

import {z} from 'zod';

/** What a host lacks of the store's items, from a peer. */
export const ItemPull = z.object({
	/** Revision up to which the sender knows all changes. */
	revision: z.int().min(0),
	/** Whether keys that are not listed do not exist. */
	isWhole: z.boolean(),
	items: z.array(z.object({key: z.string(), value: z.string(), revision: z.int()})),
	/** Removed keys, the revisions of their removal, and the time for which they may only have lapsed, in milliseconds. */
	removals: z.array(z.tuple([z.string(), z.int(), z.number().min(0)])),
});

/** What a host lacks of the store's items, from a peer. */
export type ItemPull = Readonly<z.infer<typeof ItemPull>>;

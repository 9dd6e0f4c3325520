import {z} from 'zod';

/** What a host lacks of the store's items, from a peer. */
export const ItemPull = z.object({
	/** Revision up to which the sender knows all changes. */
	revision: z.int().min(0),
	/** Whether keys that are not listed do not exist. */
	isWhole: z.boolean(),
	items: z.array(z.object({key: z.string(), value: z.string(), revision: z.int()})),
	/** Removed keys and the revisions of their removal. */
	removals: z.array(z.tuple([z.string(), z.int()])),
	/** Time for which entries that are missing may only have lapsed while the store was away, in milliseconds. */
	lapseHoldMs: z.number().min(0),
});

/** What a host lacks of the store's items, from a peer. */
export type ItemPull = Readonly<z.infer<typeof ItemPull>>;

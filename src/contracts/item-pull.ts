import {z} from 'zod';

/** Response to a peer that has an older revision of the store's items: the changes since then, or all items. */
export const ItemPull = z.object({
	/** Era of the store that all revisions here belong to; 0 if the store states none. Hosts of the release before omit it. */
	era: z.int().min(0).optional(),
	/** Revision up to which the sender has all changes. */
	revision: z.int().min(0),
	/** Whether `items` is complete, so that the receiver removes all other keys. */
	isWhole: z.boolean(),
	/** Revision after which all changes are contained; 0 if all items are. Hosts of the release before omit it: it is the requested one then. */
	sinceRevision: z.int().min(0).optional(),
	items: z.array(z.object({key: z.string(), value: z.string(), revision: z.int()})),
	/** Large items in compressed form, which are not in `items`; only for a peer that states that it accepts them. */
	deflatedItems: z.string().optional(),
	/**
	 * Removed keys, each with the revision of its removal and the time until the removal counts, in milliseconds; above 0 if the
	 * key's lease may have expired only because the store was unavailable.
	 */
	removals: z.array(z.tuple([z.string(), z.int(), z.number().min(0)])),
	/**
	 * Ranges of revisions, without their start and with their end: the receiver removes keys last written in them that are not in
	 * `items`. Hosts of the release before omit them.
	 */
	gaps: z.array(z.tuple([z.int().min(0), z.int().min(0)])).optional(),
});

/** Response to a peer that has an older revision of the store's items. */
export type ItemPull = Readonly<z.infer<typeof ItemPull>>;

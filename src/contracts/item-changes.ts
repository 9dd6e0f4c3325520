import {z} from 'zod';

/** Changes of the store's items that follow one another, as a watcher of the store sends them to the other hosts of its region. */
export const ItemChanges = z.object({
	/** Revision after which all changes are contained; a receiver that has all changes up to it then has those up to `revision`, too. */
	sinceRevision: z.int().min(0),
	revision: z.int().min(0),
	items: z.array(z.object({key: z.string(), value: z.string(), revision: z.int()})),
	/** Removed keys, each with the revision of its removal and the time until the removal counts, in milliseconds, as in `ItemPull`. */
	removals: z.array(z.tuple([z.string(), z.int(), z.number().min(0)])),
	/** Ranges of revisions in which keys may have been removed without a known removal, as in `ItemPull`. */
	gaps: z.array(z.tuple([z.int().min(0), z.int().min(0)])),
});

/** Changes of the store's items that follow one another, as a watcher of the store sends them to the other hosts of its region. */
export type ItemChanges = Readonly<z.infer<typeof ItemChanges>>;

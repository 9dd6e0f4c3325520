import {z} from 'zod';

/** Names the two processes that keep the outcomes of keys made under it. */
export const HomeToken = z.object({
	id: z.string().regex(/^[\w-]{1,32}$/),
	/** Process that runs the requests, as `id/boot`, and its address for daemons. */
	home: z.string().max(100),
	homeAddress: z.string().max(21),
	/** Process that holds a second record. */
	backup: z.string().max(100),
	backupAddress: z.string().max(21),
});

/** Names the two processes that keep the outcomes of keys made under it. */
export type HomeToken = Readonly<z.infer<typeof HomeToken>>;

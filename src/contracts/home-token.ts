import {z} from 'zod';

/** Content of a token, under which callers create idempotency keys: the two processes that record the keys and outcomes of its requests. */
export const HomeToken = z.object({
	id: z.string().regex(/^[\w-]{1,32}$/),
	/** Process that handles the requests, as `id/boot`, and its address for other daemons. */
	home: z.string().max(100),
	homeAddress: z.string().max(21),
	/** Process that holds the second record, as `id/boot`, and its address for other daemons. */
	backup: z.string().max(100),
	backupAddress: z.string().max(21),
});

/** Content of a token, under which callers create idempotency keys. */
export type HomeToken = Readonly<z.infer<typeof HomeToken>>;

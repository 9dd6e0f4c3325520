import {z} from 'zod';

/** What is known of one process of the system; `id` and `boot` together name it. */
export const Member = z.object({
	/** Name of the host, from its settings. */
	id: z.string().max(63),
	/** Random identifier of this process's life; a restarted host is another member. */
	boot: z.string().max(16),
	region: z.string().max(63),
	zone: z.string().max(63),
	/** Address for callers. */
	callers: z.string().max(21),
	/** Address for other daemons. */
	peers: z.string().max(21),
});

/** What is known of one process of the system. */
export type Member = Readonly<z.infer<typeof Member>>;

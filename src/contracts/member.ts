import {z} from 'zod';
import {SocketAddress} from '../config/socket-address.js';

/** A process of a daemon, identified by `id` and `boot` together. */
export const Member = z.object({
	/** Name of the host, from its settings. */
	id: z.string().max(63),
	/** Random identifier of the process; after a restart, a host is another member. */
	boot: z.string().max(16),
	region: z.string().max(63),
	zone: z.string().max(63),
	/** Address for callers. */
	callers: SocketAddress,
	/** Address for other daemons. */
	peers: SocketAddress,
});

/** A process of a daemon. */
export type Member = Readonly<z.infer<typeof Member>>;

import {z} from 'zod';

/** Permission to send a number of a service's requests to another region, issued by the owner of the service in that region. */
export const Grant = z.object({
	/** Number of requests that may be sent. */
	requests: z.int().min(0),
	/** Total size of these requests and their responses, in bytes. */
	bytes: z.int().min(0),
	/** Time for which the grant is valid, counted by the region that requested it from its request on, in milliseconds. */
	validMs: z.number().min(0),
});

/** Permission to send a number of a service's requests to another region. */
export type Grant = Readonly<z.infer<typeof Grant>>;

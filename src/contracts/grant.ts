import {z} from 'zod';

/** Leave to send some requests of a service to another region; it comes from that region's owner of the service. */
export const Grant = z.object({
	/** Requests that may be sent. */
	requests: z.int().min(0),
	/** Bytes of requests and answers that they may take together. */
	bytes: z.int().min(0),
	/** Time for which the grant holds, counted by the sender from the moment at which it asked, in milliseconds. */
	validMs: z.number().min(0),
});

/** Leave to send some requests of a service to another region. */
export type Grant = Readonly<z.infer<typeof Grant>>;

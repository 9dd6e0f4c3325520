import {z} from 'zod';

const InstanceStatus = z.object({
	id: z.string(),
	inFlight: z.int(),
	limit: z.int(),
	isLeaving: z.boolean(),
	isUp: z.boolean(),
});

const OwnedService = z.object({
	service: z.string(),
	queued: z.int(),
	inFlight: z.int(),
	/** Mean time from the start of a request at an instance to the response, in milliseconds. */
	serviceMs: z.number(),
	instances: z.array(InstanceStatus),
});

/** Status of one host, for operators. */
export const HostStatus = z.object({
	id: z.string(),
	boot: z.string(),
	region: z.string(),
	zone: z.string(),
	callers: z.string(),
	/** Revision of the configuration in force; 0 for none. */
	revision: z.int(),
	phase: z.enum(['starting', 'serving', 'stopping']),
	/** Number of members of the region that are alive in this host's view, including itself. */
	aliveMembers: z.int(),
	/** Whether the host's view is reliable enough to decide on behalf of other hosts. */
	isConfident: z.boolean(),
	requestsInFlight: z.int(),
	/** Number of keyed requests without an outcome, plus outcomes that are still being sent to the backup. */
	keysUnfinished: z.int(),
	owns: z.array(OwnedService),
	quarantined: z.array(z.object({fingerprint: z.string(), service: z.string(), instances: z.array(z.string())})),
});

/** Status of one host, for operators. */
export type HostStatus = Readonly<z.infer<typeof HostStatus>>;

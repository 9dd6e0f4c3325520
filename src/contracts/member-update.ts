import {z} from 'zod';
import {Member} from './member.js';

/** Update about one member. A higher incarnation replaces a lower one; at the same incarnation the more severe status prevails. */
export const MemberUpdate = z.object({
	member: Member,
	/** Incremented only by the member itself. */
	incarnation: z.int().min(0),
	status: z.enum(['alive', 'suspect', 'dead']),
	/** Whether the member is in a planned stop: it still serves requests, but is not selected for new roles. */
	isLeaving: z.boolean(),
	/** How busy the member's host is, from 0 for a host with room; absent stands for 0, also from earlier releases. */
	busyLevel: z.int().min(0).max(255).optional(),
});

/** Update about one member. */
export type MemberUpdate = Readonly<z.infer<typeof MemberUpdate>>;

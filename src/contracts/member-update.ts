import {z} from 'zod';
import {Member} from './member.js';

/** News of one member. A higher incarnation wins; at the same one the graver status does. */
export const MemberUpdate = z.object({
	member: Member,
	/** Raised by the member itself alone. */
	incarnation: z.int().min(0),
	status: z.enum(['alive', 'suspect', 'dead']),
	/** Whether the member is in a planned stop: it serves, and takes on nothing new. */
	isLeaving: z.boolean(),
});

/** News of one member. */
export type MemberUpdate = Readonly<z.infer<typeof MemberUpdate>>;

import {z} from 'zod';
import {MemberUpdate} from './member-update.js';
import {RegionSummary} from './region-summary.js';

const Common = {
	/** Sender, as `id/boot`. */
	from: z.string(),
	/** Address at which the sender hears gossip. */
	address: z.string().max(21),
	/** Revision of the configuration in force at the sender; 0 for none. */
	revision: z.int().min(0),
	/** Hash of the sender's view of its region; differing hashes lead to a synchronisation. */
	viewHash: z.int(),
	updates: z.array(MemberUpdate).max(16),
	summaries: z.array(RegionSummary).max(4),
};

/** A datagram between daemons. */
export const GossipMessage = z.discriminatedUnion('kind', [
	/** Asks `to` for an acknowledgement of `seq`. */
	z.object({
		kind: z.literal('ping'), seq: z.int(), to: z.string(), ...Common,
	}),
	z.object({kind: z.literal('ack'), seq: z.int(), ...Common}),
	/** Asks the receiver to ping `target` on the sender's behalf. */
	z.object({
		kind: z.literal('ping-req'), seq: z.int(), target: z.string(), targetAddress: z.string().max(21), ...Common,
	}),
	/** Says that the pinged process lives no longer: another one has its address. */
	z.object({kind: z.literal('gone'), gone: z.string(), ...Common}),
	/** Tells a new revision at once. */
	z.object({kind: z.literal('news'), ...Common}),
	/** From a delegate of another region; answered in kind when `isReply` is false. */
	z.object({kind: z.literal('region'), isReply: z.boolean(), ...Common}),
]);

/** A datagram between daemons. */
export type GossipMessage = Readonly<z.infer<typeof GossipMessage>>;

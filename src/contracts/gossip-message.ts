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
	/**
	 * Between regions: what each side knows of its own region and of the other's. A summary is sent only to a side
	 * whose hash of it differs. `step` counts the messages of one exchange, from 0 to 2.
	 */
	z.object({
		kind: z.literal('region'),
		step: z.int().min(0).max(2),
		region: z.string().max(63),
		ownVersion: z.int().min(0),
		ownHash: z.int(),
		knownVersion: z.int().min(0),
		knownHash: z.int(),
		...Common,
	}),
]);

/** A datagram between daemons. */
export type GossipMessage = Readonly<z.infer<typeof GossipMessage>>;

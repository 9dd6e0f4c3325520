import {z} from 'zod';
import {SocketAddress} from '../config/socket-address.js';
import {MemberUpdate} from './member-update.js';
import {RegionSummary} from './region-summary.js';

/** Limits of an encoding of changes that is sent in parts. */
const maxParts = 64;
const maxPartBytes = 1400;

const CommonFields = {
	/** Process that sent the message, as `id/boot`. */
	from: z.string(),
	/** Address at which the sender receives gossip. */
	address: SocketAddress,
	/** Revision of the configuration in force at the sender; 0 for none. */
	revision: z.int().min(0),
	/** Era of the store that `revision` belongs to; absent if the store states none, and from earlier releases. */
	era: z.int().min(0).optional(),
	/** Hash of the sender's view of its region; if it differs from the receiver's, the views are synchronized. */
	viewHash: z.int(),
	updates: z.array(MemberUpdate).max(16),
	summaries: z.array(RegionSummary).max(4),
};

/** Datagram between daemons. */
export const GossipMessage = z.discriminatedUnion('kind', [
	/** Requests an acknowledgement of `seq` from the process `to`; an empty `to` stands for whichever process has the address. */
	z.object({
		kind: z.literal('ping'), seq: z.int(), to: z.string(), ...CommonFields,
	}),
	z.object({kind: z.literal('ack'), seq: z.int(), ...CommonFields}),
	/** Requests that the receiver pings `target` on the sender's behalf. */
	z.object({
		kind: z.literal('ping-req'), seq: z.int(), target: z.string(), targetAddress: SocketAddress, ...CommonFields,
	}),
	/** Reports that the pinged process has ended, since another process now has its address. */
	z.object({kind: z.literal('gone'), gone: z.string(), ...CommonFields}),
	/**
	 * Reports a new revision or member updates immediately instead of with the next probe. `contactOf` is a process that
	 * watches the store and has just been answered by it, `contactRevision` and `contactEra` the version that it had; revision 0 says that it may lack changes. A `contactOf` that
	 * names the receiver reports no contact: with an era, the fields cannot be left out, since they precede it on the wire.
	 * A contact is relayed by the members that receive it from the watcher, unless `isRelayed` is false. `partData` is one of `partCount` parts
	 * of the encoded changes of the store that lead up to the contact's version.
	 */
	z.object({
		kind: z.literal('news'),
		contactOf: z.string().optional(),
		contactRevision: z.int().min(0).optional(),
		contactEra: z.int().min(0).optional(),
		isRelayed: z.boolean().optional(),
		partIndex: z.int().min(0).optional(),
		partCount: z.int().min(1).max(maxParts).optional(),
		partData: z.custom<Uint8Array>(data => data instanceof Uint8Array && data.byteLength <= maxPartBytes).optional(),
		...CommonFields,
	}),
	/**
	 * Compares region summaries with another region: `own` fields describe the sender's summary of its own region, `known`
	 * fields its copy of the receiver's summary. A summary is sent only to a side whose hash of it differs. `step` is the
	 * number of the message in an exchange, from 0 to 2.
	 */
	z.object({
		kind: z.literal('region'),
		step: z.int().min(0).max(2),
		region: z.string().max(63),
		ownVersion: z.int().min(0),
		ownHash: z.int(),
		knownVersion: z.int().min(0),
		knownHash: z.int(),
		...CommonFields,
	}),
]);

/** Datagram between daemons. */
export type GossipMessage = Readonly<z.infer<typeof GossipMessage>>;

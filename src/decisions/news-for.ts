import {type GossipMessage} from '../contracts/gossip-message.js';
import {type Member} from '../contracts/member.js';
import {memberKey} from './member-key.js';

/**
 * Returns a `news` message for a member. With an era and without a contact, the message names the receiver itself as the contact,
 * which every release ignores; an earlier release drops the datagram if the fields before the era are empty, and any other
 * name would tell it of a contact to the store.
 */
export function newsFor(member: Member, fields: Omit<GossipMessage & {kind: 'news'}, 'kind'>): GossipMessage {
	const isContactLess = fields.era !== undefined && fields.contactOf === undefined;
	return {kind: 'news', ...fields, ...(isContactLess && {contactOf: memberKey(member), contactRevision: 0})};
}

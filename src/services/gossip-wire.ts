import {decode, encode} from '@msgpack/msgpack';
import {GossipMessage} from '../contracts/gossip-message.js';
import {type Member} from '../contracts/member.js';
import {type MemberUpdate} from '../contracts/member-update.js';
import {type RegionSummary} from '../contracts/region-summary.js';

const statuses = ['alive', 'suspect', 'dead'] as const;

/**
 * Encodes and decodes the gossip datagrams between daemons: MessagePack with fields by position, a fifth of the size of
 * named fields.
 */
export const gossipWire = {
	encode(message: GossipMessage): Uint8Array {
		const {
			kind, from, address, revision, viewHash, updates, summaries, ...rest
		} = message;
		return encode([kind, from, address, revision, viewHash, updates.map(update => packUpdate(update)), summaries.map(summary => packSummary(summary)), ...packRest(kind, rest)]);
	},

	/** Decodes a datagram; returns `undefined` if it is malformed. */
	decode(data: Uint8Array): GossipMessage | undefined {
		try {
			const [kind, from, address, revision, viewHash, updates, summaries, ...rest] = decode(data) as [string, unknown, unknown, unknown, unknown, unknown[][], unknown[][], ...unknown[]];
			const parsed = GossipMessage.safeParse({
				kind,
				from,
				address,
				revision,
				viewHash,
				updates: updates.map(fields => unpackUpdate(fields)),
				summaries: summaries.map(fields => unpackSummary(fields)),
				...unpackRest(kind, rest),
			});
			return parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		}
	},
};

/** Names of the fields that follow the common fields, by message kind, in wire order. The era came later, and then the parts of changes, so that earlier releases ignore them there. */
const restFields: Readonly<Record<string, readonly string[]>> = {
	ping: ['seq', 'to', 'era'],
	ack: ['seq', 'era'],
	'ping-req': ['seq', 'target', 'targetAddress', 'era'],
	gone: ['gone', 'era'],
	news: ['contactOf', 'contactRevision', 'era', 'contactEra', 'isRelayed', 'partIndex', 'partCount', 'partData'],
	region: ['step', 'region', 'ownVersion', 'ownHash', 'knownVersion', 'knownHash', 'era'],
};

function packRest(kind: string, fields: Readonly<Record<string, unknown>>): unknown[] {
	// An absent optional field is left out, since it would be decoded as null.
	return (restFields[kind] ?? []).map(name => fields[name]).filter(value => value !== undefined);
}

function unpackRest(kind: string, values: readonly unknown[]): Record<string, unknown> {
	return Object.fromEntries((restFields[kind] ?? []).map((name, index) => [name, values[index]]));
}

function packMember(member: Member): unknown[] {
	return [member.id, member.boot, member.region, member.zone, member.callers, member.peers];
}

function unpackMember(fields: readonly unknown[]): Record<string, unknown> {
	const [id, boot, region, zone, callers, peers] = fields;
	return {
		id, boot, region, zone, callers, peers,
	};
}

function packUpdate(update: MemberUpdate): unknown[] {
	const {member, incarnation, status, isLeaving, busyLevel} = update;
	return [packMember(member), incarnation, statuses.indexOf(status), isLeaving, ...(busyLevel === undefined ? [] : [busyLevel])];
}

function unpackUpdate(fields: readonly unknown[]): Record<string, unknown> {
	const [member, incarnation, status, isLeaving, busyLevel] = fields;
	return {
		member: unpackMember(member as unknown[]), incarnation, status: statuses[status as number], isLeaving, ...(busyLevel !== undefined && {busyLevel}),
	};
}

function packSummary(summary: RegionSummary): unknown[] {
	return [summary.region, summary.version, summary.hosts.map(host => packMember(host))];
}

function unpackSummary(fields: readonly unknown[]): Record<string, unknown> {
	const [region, version, hosts] = fields;
	return {region, version, hosts: (hosts as unknown[][]).map(host => unpackMember(host))};
}

import {decode} from '@msgpack/msgpack';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {GossipMessage} from '../contracts/gossip-message.js';
import {newsFor} from '../decisions/news-for.js';
import {gossipWire} from './gossip-wire.js';

const member = {
	id: 'dsm-a-1', boot: '0123abcd', region: 'dsm', zone: 'dsm-a', callers: '127.0.0.1:1', peers: '127.0.0.1:2',
};
const common = {
	from: 'dsm-a-1/0123abcd',
	address: '127.0.0.1:2',
	revision: 7,
	viewHash: 123,
	updates: [{
		member, incarnation: 3, status: 'suspect' as const, isLeaving: true,
	}],
	summaries: [{region: 'aru', version: 4, hosts: [member]}],
};
const messages: readonly GossipMessage[] = [
	{
		kind: 'ping', seq: 1, to: 'x/1', ...common,
	},
	{kind: 'ack', seq: 2, ...common},
	{
		kind: 'ack', seq: 3, ...common, updates: [{...common.updates[0]!, busyLevel: 2}],
	},
	{
		kind: 'ping-req', seq: 3, target: 'x/1', targetAddress: '127.0.0.1:3', ...common,
	},
	{kind: 'gone', gone: 'x/1', ...common},
	{kind: 'news', ...common},
	{
		kind: 'news', contactOf: 'dsm-a-1/0123abcd', contactRevision: 6, ...common,
	},
	{
		kind: 'news', contactOf: 'dsm-a-1/0123abcd', contactRevision: 6, era: 2, contactEra: 3, ...common,
	},
	{
		kind: 'news', contactOf: 'dsm-a-1/0123abcd', contactRevision: 6, era: 0, contactEra: 0, isRelayed: false, partIndex: 1, partCount: 2, partData: new Uint8Array([1, 2, 3]), ...common,
	},
	{
		kind: 'ack', seq: 2, era: 2, ...common,
	},
	{
		kind: 'region', step: 1, region: 'dsm', ownVersion: 1, ownHash: 2, knownVersion: 3, knownHash: 4, ...common,
	},
];

describe('gossipWire', () => {
	it.each(messages)('decodes an encoded $kind message to the same message', message => {
		expect(gossipWire.decode(gossipWire.encode(message))).toEqual(message);
	});

	// Guards against datagrams that hosts of the release before drop, or take for something else, during an upgrade.
	it('puts the era behind all fields that the release before reads', () => {
		const fieldsOf = (message: GossipMessage) => (decode(gossipWire.encode(message)) as unknown[]).slice(7);
		expect(fieldsOf({
			kind: 'ping', seq: 1, to: 'x/1', era: 2, ...common,
		})).toEqual([1, 'x/1', 2]);
		expect(fieldsOf(newsFor(member, {era: 2, ...common}))).toEqual(['dsm-a-1/0123abcd', 0, 2]);
		expect(fieldsOf(newsFor(member, {
			contactOf: 'y/2', contactRevision: 6, era: 2, contactEra: 3, ...common,
		}))).toEqual(['y/2', 6, 2, 3]);
		expect(fieldsOf(newsFor(member, common))).toEqual([]);
		expect(fieldsOf({
			kind: 'news', contactOf: 'y/2', contactRevision: 6, era: 2, contactEra: 3, isRelayed: true, partIndex: 0, partCount: 1, partData: new Uint8Array([7]), ...common,
		})).toEqual(['y/2', 6, 2, 3, true, 0, 1, new Uint8Array([7])]);
	});

	it('returns undefined for a malformed datagram instead of throwing', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 300}), data => {
			expect(gossipWire.decode(data)).toBeUndefined();
		}), {seed: 5, numRuns: 2000});
	});

	it('refuses a datagram with an altered byte, or decodes it to a message that is valid', () => {
		const whole = gossipWire.encode(messages[0]!);
		fc.assert(fc.property(fc.nat(whole.length - 1), fc.nat(255), (index, value) => {
			const damaged = Uint8Array.from(whole);
			damaged[index] = value;
			const message = gossipWire.decode(damaged);
			expect(message === undefined || GossipMessage.safeParse(message).success).toBe(true);
		}), {seed: 6, numRuns: 2000});
	});

	it('adds one byte for a busy host and none for others, and decodes updates of earlier releases, which have no level', () => {
		const size = (busyLevel: number | undefined) => gossipWire.encode({...messages[1]!, updates: [{...common.updates[0]!, busyLevel}]}).byteLength;
		expect(size(2) - size(undefined)).toBe(1);
		expect(gossipWire.decode(gossipWire.encode(messages[1]!))!.updates[0]!.busyLevel).toBeUndefined();
	});

	it('encodes a ping without updates and summaries in less than 110 bytes', () => {
		expect(gossipWire.encode({...messages[0]!, updates: [], summaries: []}).byteLength).toBeLessThan(110);
	});
});

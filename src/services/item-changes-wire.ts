import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {decode, encode} from '@msgpack/msgpack';
import {ItemChanges} from '../contracts/item-changes.js';

/** Size up to which changes are encoded: a larger configuration takes a weak host long to compress, and is not worth many datagrams. */
const maxEncodedBytes = 131_072;
/** Fastest level of compression; entries of the store resemble each other, so that it gains most of what the others do. */
const compressionLevel = 1;

/** Encodes and decodes changes of the store for datagrams: compressed MessagePack. */
export const itemChangesWire = {
	/** Encodes changes; returns `undefined` if they are too large. */
	encode({sinceRevision, revision, items, removals, gaps}: ItemChanges): Uint8Array | undefined {
		const size = items.reduce((total, {key, value}) => total + key.length + value.length, 0);
		return size > maxEncodedBytes
			? undefined
			: deflateRawSync(encode([sinceRevision, revision, items.map(item => [item.key, item.value, item.revision]), removals, gaps]), {level: compressionLevel});
	},

	/** Decodes changes; returns `undefined` if they are malformed. */
	decode(data: Uint8Array): ItemChanges | undefined {
		try {
			// Keys and the framing of the entries come on top of the values.
			const [sinceRevision, revision, items, removals, gaps] = decode(inflateRawSync(Buffer.from(data), {maxOutputLength: 2 * maxEncodedBytes})) as [unknown, unknown, unknown[][], unknown, unknown];
			const parsed = ItemChanges.safeParse({
				sinceRevision, revision, items: items.map(([key, value, itemRevision]) => ({key, value, revision: itemRevision})), removals, gaps,
			});
			return parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		}
	},
};

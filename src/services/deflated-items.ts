import {Buffer} from 'node:buffer';
import {deflateSync, inflateSync} from 'node:zlib';
import {ItemPull} from '../contracts/item-pull.js';

type Items = ItemPull['items'];

/** Fastest level of compression; entries of a configuration resemble each other, so that it gains most of what the others do. */
const compressionLevel = 1;
/** Limit of the inflated items, in bytes: a few configurations of the largest size, and a small part of a host's memory. */
const maxInflatedBytes = 4_194_304;

/** Encodes and decodes items of the store for responses between hosts: JSON in the zlib format, as base64. */
export const deflatedItems = {
	/** Encodes items; returns `undefined` if there are more than a receiver accepts. */
	encode(items: Items): string | undefined {
		const json = Buffer.from(JSON.stringify(items));
		return json.byteLength > maxInflatedBytes ? undefined : deflateSync(json, {level: compressionLevel}).toString('base64');
	},

	/** Decodes items. Throws if they are malformed, incomplete or larger than what `encode` returns. */
	decode: (data: string): Items => ItemPull.shape.items.parse(JSON.parse(inflate(data))),
};

/** Inflates a text up to the largest accepted size, so that a small response cannot take much memory. */
function inflate(data: string): string {
	try {
		return inflateSync(Buffer.from(data, 'base64'), {maxOutputLength: maxInflatedBytes}).toString();
	} catch (err) {
		throw new Error(`the compressed items of the response cannot be inflated: ${(err as Error).message}`, {cause: err});
	}
}

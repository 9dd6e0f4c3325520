import {type ItemPull} from '../contracts/item-pull.js';
import {deflatedItems} from './deflated-items.js';

type Items = ItemPull['items'];
type Encoding = {
	/** Era, keys and revisions of the items, which determine their values. */
	readonly signature: string;
	/** Compressed items; `undefined` if they are sent uncompressed. */
	readonly data: string | undefined;
};

/** Size of an item from which it is compressed; a link of 10 Mbit/s carries less in 26 ms. */
const minDeflatedBytes = 32_768;
/** Number of encodings kept: peers usually lack the same large items. */
const maxEncodings = 2;
/** Largest encoding that is kept and sent, in bytes; it bounds the memory of the kept ones. */
const maxEncodingBytes = 1_048_576;

/** Compresses the large items of responses to pulls, once for all peers that lack the same ones, whatever else these lack. */
export class ItemPullEncoder {
	/** In the order of their latest use. */
	#encodings: readonly Encoding[] = [];

	/** Returns a response as it is sent, with the size of its items in bytes. */
	encode(pull: ItemPull, acceptsDeflated: boolean): {readonly pull: ItemPull; readonly bytes: number} {
		const large = acceptsDeflated ? pull.items.filter(item => sizeOf([item]) >= minDeflatedBytes) : [];
		const data = large.length > 0 ? this.#deflate(pull.era, large) : undefined;
		if (data === undefined) {
			return {pull, bytes: sizeOf(pull.items)};
		}

		const small = pull.items.filter(item => !large.includes(item));
		return {pull: {...pull, items: small, deflatedItems: data}, bytes: sizeOf(small) + data.length};
	}

	#deflate(era: number | undefined, items: Items): string | undefined {
		const signature = JSON.stringify([era, ...items.map(({key, revision}) => [key, revision])]);
		const known = this.#encodings.find(encoding => encoding.signature === signature);
		const encoding = known ?? {signature, data: limit(deflatedItems.encode(items), sizeOf(items))};
		this.#encodings = [...this.#encodings.filter(other => other !== known), encoding].slice(-maxEncodings);
		return encoding.data;
	}
}

function sizeOf(items: Items): number {
	return items.reduce((total, {key, value}) => total + key.length + value.length, 0);
}

/** Returns an encoding unless it is too large, or not smaller than the items. */
function limit(data: string | undefined, bytes: number): string | undefined {
	return data === undefined || data.length > Math.min(maxEncodingBytes, bytes) ? undefined : data;
}

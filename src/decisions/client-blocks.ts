/** A block of IPv4 addresses whose clients belong to one site. */
type ClientBlock = {
	/** First address, as an unsigned 32-bit number. */
	readonly start: number;
	/** Length of the prefix, from 0 to 32. */
	readonly length: number;
	readonly site: number;
};

/** Site of addresses that no block covers. */
const noSite = 65_535;
/** Addresses that share their first 16 bits share an entry of the index. */
const indexSize = 65_536;
const addressSpace = 2 ** 32;
/** Prefix lengths, for the order of blocks with one start. */
const lengthRange = 64;

/** A block that covers the position reached. */
type Open = {readonly end: number; readonly site: number};

/**
 * Sites of client addresses. Blocks become ranges in one sorted array, six bytes each; an index over the first
 * 16 bits narrows each look-up to a short binary search. Where blocks lie inside each other the longer prefix wins.
 */
export class ClientBlocks {
	/** Builds the table; the site numbers have to be below 65,535. */
	static build(blocks: readonly ClientBlock[]): ClientBlocks {
		const ranges = flatten(blocks, sortedOrder(blocks));
		return new ClientBlocks(ranges.starts, ranges.sites);
	}

	readonly #starts: Uint32Array;
	readonly #sites: Uint16Array;
	readonly #index: Uint32Array;

	private constructor(starts: Uint32Array, sites: Uint16Array) {
		this.#starts = starts;
		this.#sites = sites;
		this.#index = new Uint32Array(indexSize + 1);
		let position = 0;
		for (let top = 0; top <= indexSize; top++) {
			while (position < starts.length && starts[position]! < top * indexSize) {
				position++;
			}

			this.#index[top] = position;
		}
	}

	/** Ranges held. */
	get size(): number {
		return this.#starts.length;
	}

	/** Bytes held. */
	get bytes(): number {
		return this.#starts.byteLength + this.#sites.byteLength + this.#index.byteLength;
	}

	/** Site of an address; `undefined` when no block covers it. */
	siteOf(address: number): number | undefined {
		const top = Math.floor(address / indexSize);
		let low = this.#index[top]!;
		let high = this.#index[top + 1]!;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#starts[middle]! <= address) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		const site = low === 0 ? noSite : this.#sites[low - 1]!;
		return site === noSite ? undefined : site;
	}
}

/** Positions of the blocks by start and then by length. */
function sortedOrder(blocks: readonly ClientBlock[]): Uint32Array {
	const keys = new Float64Array(blocks.length);
	for (const [index, block] of blocks.entries()) {
		keys[index] = (block.start * lengthRange) + block.length;
	}

	const order = Uint32Array.from(keys.keys());
	return order.sort((a, b) => keys[a]! - keys[b]!);
}

/** Turns nested blocks into ranges that follow each other; a range ends where the next begins. */
function flatten(blocks: readonly ClientBlock[], order: Uint32Array): {readonly starts: Uint32Array; readonly sites: Uint16Array} {
	const starts = new Uint32Array((2 * blocks.length) + 1);
	const sites = new Uint16Array((2 * blocks.length) + 1);
	const open: Open[] = [];
	let count = 0;
	let position = 0;
	const emit = (until: number) => {
		const site = open.at(-1)?.site ?? noSite;
		if (until > position && (count === 0 || sites[count - 1] !== site)) {
			starts[count] = position;
			sites[count] = site;
			count++;
		}

		position = Math.max(position, until);
	};

	const closeUntil = (start: number) => {
		for (let top = open.at(-1); top !== undefined && top.end <= start; top = open.at(-1)) {
			emit(top.end);
			open.pop();
		}
	};

	for (const index of order) {
		const block = blocks[index]!;
		closeUntil(block.start);
		emit(block.start);
		open.push({end: block.start + (2 ** (32 - block.length)), site: block.site});
	}

	closeUntil(addressSpace);
	emit(addressSpace);
	return {starts: starts.slice(0, count), sites: sites.slice(0, count)};
}

/** A block of IPv4 addresses whose clients belong to one site. */
type ClientBlock = {
	/** First address, as an unsigned 32-bit number. */
	readonly start: number;
	/** Length of the prefix, from 0 to 32. */
	readonly length: number;
	readonly site: number;
};

/** Site number stored for ranges that no block covers. */
const noSite = 65_535;
/** Number of index entries: one for each value of an address's first 16 bits. */
const indexSize = 65_536;
const addressSpace = 2 ** 32;
/** Exceeds every prefix length, so that `start * lengthRange + length` sorts blocks by start, then by length. */
const lengthRange = 64;

/** A block that contains the current position of the sweep over the address space. */
type OpenBlock = {readonly end: number; readonly site: number};

/**
 * Maps client addresses to sites. Blocks are flattened into one sorted array of ranges, six bytes each; an index over
 * the first 16 bits limits each lookup to a short binary search. Where blocks are nested, the longest prefix wins.
 */
export class ClientBlocks {
	/** Builds the table. Site numbers must be below 65,535. */
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
		for (let topBits = 0; topBits <= indexSize; topBits++) {
			while (position < starts.length && starts[position]! < topBits * indexSize) {
				position++;
			}

			this.#index[topBits] = position;
		}
	}

	/** Number of ranges stored. */
	get size(): number {
		return this.#starts.length;
	}

	/** Memory used by the table, in bytes. */
	get bytes(): number {
		return this.#starts.byteLength + this.#sites.byteLength + this.#index.byteLength;
	}

	/** Returns the site of an address, or `undefined` if no block covers it. */
	siteOf(address: number): number | undefined {
		const topBits = Math.floor(address / indexSize);
		let low = this.#index[topBits]!;
		let high = this.#index[topBits + 1]!;
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

/** Returns the indices of the blocks, sorted by start and then by prefix length. */
function sortedOrder(blocks: readonly ClientBlock[]): Uint32Array {
	const keys = new Float64Array(blocks.length);
	for (const [index, block] of blocks.entries()) {
		keys[index] = (block.start * lengthRange) + block.length;
	}

	const order = Uint32Array.from(keys.keys());
	return order.sort((a, b) => keys[a]! - keys[b]!);
}

/** Converts nested blocks into consecutive ranges; each range ends where the next one begins. */
function flatten(blocks: readonly ClientBlock[], order: Uint32Array): {readonly starts: Uint32Array; readonly sites: Uint16Array} {
	const starts = new Uint32Array((2 * blocks.length) + 1);
	const sites = new Uint16Array((2 * blocks.length) + 1);
	const openBlocks: OpenBlock[] = [];
	let count = 0;
	let position = 0;
	const emit = (until: number) => {
		const site = openBlocks.at(-1)?.site ?? noSite;
		if (until > position && (count === 0 || sites[count - 1] !== site)) {
			starts[count] = position;
			sites[count] = site;
			count++;
		}

		position = Math.max(position, until);
	};

	const closeUntil = (start: number) => {
		for (let top = openBlocks.at(-1); top !== undefined && top.end <= start; top = openBlocks.at(-1)) {
			emit(top.end);
			openBlocks.pop();
		}
	};

	for (const index of order) {
		const block = blocks[index]!;
		closeUntil(block.start);
		emit(block.start);
		openBlocks.push({end: block.start + (2 ** (32 - block.length)), site: block.site});
	}

	closeUntil(addressSpace);
	emit(addressSpace);
	return {starts: starts.slice(0, count), sites: sites.slice(0, count)};
}

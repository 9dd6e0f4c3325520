import {type StoreVersion} from '../contracts/store-version.js';

/** Part of an encoding that takes several datagrams. */
type Part = {
	/** Process that encoded it. */
	readonly origin: string;
	/** Version to which the encoded changes lead; it tells the encodings of a process apart. */
	readonly version: StoreVersion;
	readonly index: number;
	readonly count: number;
	readonly data: Uint8Array;
};

/** Number of incomplete encodings that are kept; watchers send one after the other, so that older ones have lost a part. */
const maxIncomplete = 8;

/** Joins the parts of encodings, which arrive in any order, repeatedly or not at all. */
export class PartAssembler {
	readonly #incomplete = new Map<string, Map<number, Uint8Array>>();

	/** Adds a part; returns the whole encoding once all of its parts were added. */
	add({origin, version: {era, revision}, index, count, data}: Part): Uint8Array | undefined {
		if (count === 1) {
			return data;
		}

		const id = `${origin}|${era}|${revision}|${count}`;
		const parts = this.#incomplete.get(id) ?? new Map<number, Uint8Array>();
		this.#incomplete.set(id, parts);
		// The datagram's buffer is larger than the part.
		parts.set(index, new Uint8Array(data));
		if (parts.size === count) {
			this.#incomplete.delete(id);
			return concat([...parts].toSorted(([a], [b]) => a - b).map(([, part]) => part));
		}

		if (this.#incomplete.size > maxIncomplete) {
			const [oldest] = this.#incomplete.keys();
			this.#incomplete.delete(oldest!);
		}

		return undefined;
	}
}

function concat(parts: readonly Uint8Array[]): Uint8Array {
	const whole = new Uint8Array(parts.reduce((total, {byteLength}) => total + byteLength, 0));
	let offset = 0;
	for (const part of parts) {
		whole.set(part, offset);
		offset += part.byteLength;
	}

	return whole;
}

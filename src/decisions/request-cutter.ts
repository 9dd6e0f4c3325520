/** What the request head that was read last says about its body. */
type Framing = {readonly kind: 'none'} | {readonly kind: 'length'; readonly bytes: number} | {readonly kind: 'chunks'};

/** Most bytes that are passed on at once; the head of a request is searched in them. */
const maxPartBytes = 16_384;
/** Fewest bytes of a part that ends at an empty line: no request is shorter. */
const minHeadBytes = 16;
/** Most lines of a part of a body in chunks, which has two for each chunk: chunks of one byte need some hundred bytes of memory each until they are read. */
const maxChunkedLines = 64;
const noBytes = new Uint8Array();
const lineFeed = 10;
const carriageReturn = 13;

/**
 * Divides the bytes of a connection into parts with at most one request head each, at the part's end, so that no request is read before it is
 * decided whether to read more. Behind a body in chunks a part may have some more heads.
 */
export class RequestCutter {
	#body: Framing = {kind: 'none'};
	#hasEndedHead = false;
	/** The last two bytes of a head of which more is to come; empty at the beginning of a head. */
	#headTail: Uint8Array = noBytes;

	/** Whether the bytes that come next belong to a request whose head was read. */
	get isInBody(): boolean {
		return this.#body.kind !== 'none';
	}

	/** Whether the latest part ended a request head, as far as is known. */
	get hasEndedHead(): boolean {
		return this.#hasEndedHead;
	}

	/** Whether the bytes that come next belong to a body in chunks. */
	get isInChunks(): boolean {
		return this.#body.kind === 'chunks';
	}

	/** Records the body of a request whose head was just passed on. */
	beginBody(body: Framing): void {
		this.#body = body.kind === 'length' && body.bytes === 0 ? {kind: 'none'} : body;
	}

	/** Records that a body in chunks has ended. */
	endBody(): void {
		this.#body = {kind: 'none'};
	}

	/** Returns the length of the part to be passed on next, which is at least 1 and at most that of `bytes`. */
	cut(bytes: Uint8Array): number {
		this.#hasEndedHead = false;
		switch (this.#body.kind) {
			case 'none': {
				return this.#cutHead(bytes);
			}

			case 'length': {
				const length = Math.min(bytes.length, this.#body.bytes);
				this.beginBody({kind: 'length', bytes: this.#body.bytes - length});
				return length;
			}

			case 'chunks': {
				return endOfLines(bytes, maxChunkedLines);
			}
		}
	}

	#cutHead(bytes: Uint8Array): number {
		const tail = this.#headTail;
		const begin = tail.length === 0 ? 0 : endOfEmptyLine(new Uint8Array([...tail, ...bytes.subarray(0, 2)]), 1) ?? 0;
		const end = begin > tail.length ? begin - tail.length : endOfEmptyLine(bytes, tail.length === 0 ? minHeadBytes : 1);
		const length = end ?? Math.min(bytes.length, maxPartBytes);
		this.#hasEndedHead = end !== undefined;
		this.#headTail = end === undefined ? new Uint8Array([...tail, ...bytes.subarray(Math.max(0, length - 2), length)]).slice(-2) : noBytes;
		return length;
	}
}

/** Returns the position behind the first empty line that ends at `minBytes` or later, or `undefined` if there is none in the longest part. */
function endOfEmptyLine(bytes: Uint8Array, minBytes: number): number | undefined {
	const limit = Math.min(bytes.length, maxPartBytes);
	for (let index = bytes.indexOf(lineFeed, minBytes - 1); index !== -1 && index < limit; index = bytes.indexOf(lineFeed, index + 1)) {
		const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (bytes[before] === lineFeed) {
			return index + 1;
		}
	}

	return undefined;
}

/** Returns the position behind a number of lines, or else the length of the longest part. */
function endOfLines(bytes: Uint8Array, lines: number): number {
	const limit = Math.min(bytes.length, maxPartBytes);
	let end = 0;
	for (let line = 0; line < lines; line++) {
		const index = bytes.indexOf(lineFeed, end);
		if (index === -1 || index >= limit) {
			return limit;
		}

		end = index + 1;
	}

	return end;
}

import {Buffer} from 'node:buffer';
import {type Result} from '../result.js';

type ReadBodyError = {readonly code: 'too_large'};

/** Reads a body of at most `limit` bytes. Errors of the source are thrown. */
export async function readBody(source: AsyncIterable<Uint8Array>, limit: number): Promise<Result<Uint8Array, ReadBodyError>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of source) {
		size += chunk.byteLength;
		if (size > limit) {
			return {success: false, error: {code: 'too_large'}};
		}

		chunks.push(chunk);
	}

	return {success: true, data: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)};
}

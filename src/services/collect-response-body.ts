import {Buffer} from 'node:buffer';
import {BrokenOffError} from '../contracts/broken-off-error.js';
import {type Result} from '../result.js';

type CollectResponseBodyError = {readonly reason: BrokenOffError['reason'] | 'failed' | 'too_large'; readonly message: string};

/** Reads the rest of a response's body. `reserve` is called with the size of each part, and returns whether there is memory for it. */
export async function collectResponseBody(start: Uint8Array, rest: AsyncIterable<Uint8Array>, reserve: (bytes: number) => boolean): Promise<Result<Uint8Array, CollectResponseBodyError>> {
	const chunks: Uint8Array[] = [start];
	try {
		for await (const chunk of rest) {
			if (!reserve(chunk.byteLength)) {
				return {success: false, error: {reason: 'too_large', message: 'there is no memory to hold the response until it is whole'}};
			}

			chunks.push(chunk);
		}

		return {success: true, data: Buffer.concat(chunks)};
	} catch (err) {
		return {success: false, error: {reason: err instanceof BrokenOffError ? err.reason : 'failed', message: String(err)}};
	}
}

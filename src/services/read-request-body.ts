import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type ProxyRequest} from './proxy-request.js';

/**
 * Reads the body of a request: as one buffer up to `maxBufferedBytes`, otherwise as a stream of the whole body, which throws beyond
 * `maxBodyBytes`.
 */
export async function readRequestBody(req: IncomingMessage, maxBufferedBytes: number, maxBodyBytes: number): ReturnType<ProxyRequest['readBody']> {
	const length = req.headers['content-length'];
	if (length === undefined && req.headers['transfer-encoding'] === undefined) {
		return {kind: 'none'};
	}

	if (Number(length ?? 0) > maxBodyBytes) {
		return {kind: 'too_large'};
	}

	const source = req[Symbol.asyncIterator]() as AsyncIterator<Uint8Array, unknown>;
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		while (size <= maxBufferedBytes) {
			const next = await source.next();
			if (next.done === true) {
				return {kind: 'whole', bytes: Buffer.concat(chunks)};
			}

			chunks.push(next.value);
			size += next.value.byteLength;
		}
	} catch {
		return {kind: 'broken'};
	}

	return {kind: 'stream', source: streamBody(chunks, source, maxBodyBytes)};
}

async function * streamBody(chunks: readonly Uint8Array[], source: AsyncIterator<Uint8Array, unknown>, maxBytes: number): AsyncIterable<Uint8Array> {
	let size = 0;
	for (const chunk of chunks) {
		size += chunk.byteLength;
		yield chunk;
	}

	for (let next = await source.next(); next.done !== true; next = await source.next()) {
		size += next.value.byteLength;
		if (size > maxBytes) {
			throw new Error(`request body exceeds the limit of ${maxBytes} bytes`);
		}

		yield next.value;
	}
}

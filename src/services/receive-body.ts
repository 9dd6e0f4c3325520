import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Result} from '../result.js';

type ReceiveBodyError = {readonly code: 'too_large' | 'incomplete'};

/**
 * Reads a request body of at most `maxBytes` bytes. A larger body is not read to its end, so that the request can still
 * be refused.
 */
export async function receiveBody(incoming: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, ReceiveBodyError>> {
	if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
		return {success: false, error: {code: 'too_large'}};
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		incoming.on('data', (chunk: Uint8Array) => {
			size += chunk.byteLength;
			if (size > maxBytes) {
				incoming.pause();
				resolve({success: false, error: {code: 'too_large'}});
				return;
			}

			chunks.push(chunk);
		});
		incoming.on('end', () => {
			resolve({success: true, data: Buffer.concat(chunks)});
		});
		incoming.on('error', () => {
			resolve({success: false, error: {code: 'incomplete'}});
		});
		incoming.on('close', () => {
			resolve({success: false, error: {code: 'incomplete'}});
		});
	});
}

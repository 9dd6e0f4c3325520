import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Result} from '../result.js';

type ReceiveError = {readonly code: 'too_large' | 'incomplete'};

/** Receives a request body of at most `limit` bytes; a larger one is read no further, so that it can still be refused. */
export async function receiveBody(incoming: IncomingMessage, limit: number): Promise<Result<Uint8Array, ReceiveError>> {
	if (Number(incoming.headers['content-length'] ?? 0) > limit) {
		return {success: false, error: {code: 'too_large'}};
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		incoming.on('data', (chunk: Uint8Array) => {
			size += chunk.byteLength;
			if (size > limit) {
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

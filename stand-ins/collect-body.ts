import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** Reads the whole body of a request or response as text. */
export async function collectBody(req: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString();
}

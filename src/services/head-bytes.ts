import {type IncomingMessage} from 'node:http';

/** Returns the size of a request's head in bytes as it was sent, without the blank line. */
export function headBytes(req: IncomingMessage): number {
	let size = req.method!.length + req.url!.length + 12;
	for (const text of req.rawHeaders) {
		size += text.length + 2;
	}

	return size;
}

import {type Socket} from 'node:net';
import {RawServer} from './raw-server.js';

/** Instance of the platform whose responses tests write byte by byte. */
export class RawInstance extends RawServer {
	/** `respond` is called for each request and writes the response. */
	constructor(respond: (socket: Socket, requestId: string) => void) {
		super((request, socket) => {
			respond(socket, /x-request-id: (\S+)/i.exec(request)?.[1] ?? '');
			return undefined;
		});
	}
}

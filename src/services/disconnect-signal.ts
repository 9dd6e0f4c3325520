import {type IncomingMessage, type ServerResponse} from 'node:http';

/** Returns a signal that is aborted when the peer ends or closes the connection before the response is written. */
export function disconnectSignal(req: IncomingMessage, res: ServerResponse): AbortSignal {
	const controller = new AbortController();
	const abort = () => {
		if (!res.writableFinished) {
			controller.abort();
		}
	};

	// The server closes its side once the peer has ended its own, but only some turns of the event loop later. A peer may send any
	// number of requests before it reads the first response, and each has listeners here: a response that waits for earlier ones is not
	// told that the connection has closed.
	req.socket.setMaxListeners(0).once('end', abort).once('close', abort);
	res.once('close', () => {
		req.socket.off('end', abort).off('close', abort);
		abort();
	});
	return controller.signal;
}

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
	// number of requests before it reads the first response, and each has a listener here.
	req.socket.setMaxListeners(0).once('end', abort);
	res.once('close', () => {
		req.socket.off('end', abort);
		abort();
	});
	return controller.signal;
}

import {type ServerResponse} from 'node:http';

/** Returns a signal that is aborted when the peer closes the connection before the response is written. */
export function disconnectSignal(res: ServerResponse): AbortSignal {
	const controller = new AbortController();
	res.once('close', () => {
		if (!res.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}

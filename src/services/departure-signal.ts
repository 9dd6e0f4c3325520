import {type ServerResponse} from 'node:http';

/** A signal that is aborted when the far end closes the connection before its answer is written. */
export function departureSignal(outgoing: ServerResponse): AbortSignal {
	const controller = new AbortController();
	outgoing.once('close', () => {
		if (!outgoing.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}

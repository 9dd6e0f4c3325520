import {type ServerResponse} from 'node:http';
import {BrokenOffError} from '../contracts/broken-off-error.js';

/** Resolves when more of a response can be written; rejects with a `BrokenOffError` if the client closes the connection before. */
export async function waitForDrain(res: ServerResponse): Promise<void> {
	return new Promise((resolve, reject) => {
		const settle = () => {
			res.off('drain', settle);
			res.off('close', settle);
			if (res.destroyed) {
				reject(new BrokenOffError('cancelled', 'the client closed the connection'));
			} else {
				resolve();
			}
		};

		res.on('drain', settle);
		res.on('close', settle);
	});
}

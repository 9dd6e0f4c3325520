import {type Socket} from 'node:net';

/**
 * Destroys a socket that receives more than `maxBytes` bytes without a call of the returned function, so that a peer cannot keep its
 * receiver busy with bytes that never become a response.
 */
export function limitBytesWithoutProgress(socket: Socket, maxBytes: number): () => void {
	let progressBytes = 0;
	socket.on('readable', () => {
		if (socket.bytesRead - progressBytes > maxBytes) {
			socket.destroy(new Error(`more than ${maxBytes} bytes were received that are no part of a response`));
		}
	});
	return () => {
		progressBytes = socket.bytesRead;
	};
}

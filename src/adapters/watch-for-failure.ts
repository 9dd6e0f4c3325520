import {type Socket} from 'node:net';

/**
 * Calls `onFailure` when a connection fails, as opposed to being closed in an orderly way. Must be called before the HTTP client adds its
 * listeners, because it changes what they are told.
 */
export function watchForFailure(socket: Socket, onFailure: () => void): void {
	socket.on('error', (err: NodeJS.ErrnoException) => {
		// Only errors of system calls count: undici destroys sockets with errors of its own even when it closes them normally.
		if (err.syscall === undefined) {
			return;
		}

		onFailure();
		// Given this code, undici takes a response for complete if its connection was to be closed, and fails an assertion if it is not reading.
		if (err.code === 'ECONNRESET') {
			err.code = 'ERR_CONNECTION_RESET';
		}
	});
	socket.on('end', () => {
		// With libuv, a reset behind unread bytes is an end, too. After a reset there is no peer address; Node looks it up at the first access only.
		if (socket.remoteAddress === undefined) {
			onFailure();
		}
	});
}

import {type Socket} from 'node:net';

/**
 * Calls `onFailure` when a connection fails, as opposed to being closed in an orderly way. Must be called before the HTTP client adds its
 * listeners, so that the failure is known when they end a response.
 */
export function watchForFailure(socket: Socket, onFailure: () => void): void {
	socket.on('error', err => {
		// Only errors of system calls count: undici destroys sockets with errors of its own even when it closes them normally.
		if ('syscall' in err) {
			onFailure();
		}
	});
	socket.on('end', () => {
		// A reset behind unread bytes is reported as an end, too, by libuv. After a reset there is no peer; Node looks it up at the first access.
		if (socket.remoteAddress === undefined) {
			onFailure();
		}
	});
}

import {createServer, type Server, type Socket} from 'node:net';

/** A TCP server that answers each request of a connection with fixed bytes, or with nothing. */
export class RawServer {
	connections = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/** `reply` receives the request's text; the connection is closed after it when `isClosing`. */
	constructor(reply: (request: string) => string | undefined, isClosing = false) {
		this.#server = createServer(socket => {
			this.connections++;
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				const text = reply(data.toString());
				if (text !== undefined) {
					socket.write(text);
				}

				if (isClosing) {
					socket.end();
				}
			});
		});
	}

	async listen(host: string, port: number): Promise<void> {
		return new Promise(resolve => {
			this.#server.listen(port, host, resolve);
		});
	}

	async close(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}
}

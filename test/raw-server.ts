import {createServer, type Server, type Socket} from 'node:net';

/** TCP server that responds to each request of a connection with given bytes, or not at all. */
export class RawServer {
	connections = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/** `respond` receives the request's text and returns the response's; with `isClosing`, the connection is closed after the response. */
	constructor(respond: (request: string, socket: Socket) => string | undefined, isClosing = false) {
		this.#server = createServer(socket => {
			this.connections++;
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				const text = respond(data.toString(), socket);
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

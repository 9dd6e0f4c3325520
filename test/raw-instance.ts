import {createServer, type Server, type Socket} from 'node:net';

type Respond = (socket: Socket, requestId: string) => void;

/** Instance of the platform whose responses tests write byte by byte. */
export class RawInstance {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/** `respond` is called for each request and writes the response. */
	constructor(respond: Respond) {
		this.#server = createServer(socket => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				respond(socket, /x-request-id: (\S+)/i.exec(data.toString())?.[1] ?? '');
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

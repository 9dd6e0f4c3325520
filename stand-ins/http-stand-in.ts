import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';

type Handler = (req: IncomingMessage, res: ServerResponse) => void;

/** HTTP server that can close all of its connections at once, as a crash does. */
export class HttpStandIn {
	readonly #handler: Handler;
	readonly #sockets = new Set<Socket>();
	#server: Server | undefined;
	#accepted = 0;

	constructor(handler: Handler) {
		this.#handler = handler;
	}

	/** Number of open connections. */
	get connections(): number {
		return this.#sockets.size;
	}

	/** Number of connections that were accepted since the start. */
	get accepted(): number {
		return this.#accepted;
	}

	/** Listens at an address and returns the port; with port 0, the port that the system assigned. */
	async listen(host: string, port: number): Promise<number> {
		const server = createServer({keepAliveTimeout: 600_000}, this.#handler);
		server.on('connection', socket => {
			this.#accepted++;
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
			socket.on('error', () => undefined);
		});
		this.#server = server;
		return new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, () => {
				const address = server.address();
				resolve(typeof address === 'object' && address !== null ? address.port : port);
			});
		});
	}

	/** Stops listening and closes every connection without completing its requests. */
	async close(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		if (server === undefined) {
			return;
		}

		const closed = new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		this.destroyConnections();
		await closed;
	}

	/** Closes every open connection without completing its requests. */
	destroyConnections(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}

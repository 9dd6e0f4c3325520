import {createServer} from 'node:http';

/**
 * Instance of the platform: misdirects requests that expect another instance, and passes all others to `onRequest`, which runs and
 * answers them.
 */
export class Instance {
	#server;
	#sockets = new Set();

	constructor({id, service, zone, host, onRequest}) {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.host = host;
		this.#server = createServer({keepAliveTimeout: 10_000}, (req, res) => {
			if (req.headers['x-expected-instance'] !== id) {
				res.writeHead(421, {'X-Request-Id': req.headers['x-request-id'], 'X-Not-Executed': '1', 'X-Instance-Id': id}).end();
				return;
			}

			onRequest(req, res, this);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
			socket.on('error', () => undefined);
		});
	}

	/** Starts listening on a free port. */
	async listen() {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, this.host, resolve);
		});
		this.address = `${this.host}:${this.#server.address().port}`;
	}

	async close() {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}
}

import {connect, createServer} from 'node:net';

const partBytes = 8192;
/** Bytes on the way are held back for this long at most before the server is told to wait. */
const maxQueueMs = 50;

/** Link between a machine and a server with a bandwidth for what the machine receives; what it sends is not limited. */
export class NarrowLink {
	#options;
	#server;
	#sockets = new Set();
	/** Time at which the link has passed on all that it was given. */
	#freeMs = 0;

	/** `mbps`: bandwidth in megabits per second, for all connections together. */
	constructor(options) {
		this.#options = options;
	}

	async listen() {
		const {address, port} = this.#options;
		this.#server = createServer({noDelay: true}, client => {
			this.#accept(client);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject).listen(port, address, resolve);
		});
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#accept(client) {
		const {target, targetPort} = this.#options;
		const server = connect({host: target, port: targetPort, noDelay: true});
		this.#sockets.add(client).add(server);
		server.on('data', data => {
			this.#pass(data, server, client);
		}).on('close', () => {
			setTimeout(() => {
				client.destroy();
			}, Math.max(0, this.#freeMs - performance.now()) + 1);
		}).on('error', () => undefined);
		client.on('data', data => {
			server.write(data);
		}).on('close', () => {
			server.destroy();
			this.#sockets.delete(client);
			this.#sockets.delete(server);
		}).on('error', () => undefined);
	}

	#pass(data, server, client) {
		const bytesPerMs = this.#options.mbps * 1000 / 8;
		for (let begin = 0; begin < data.length; begin += partBytes) {
			const part = data.subarray(begin, begin + partBytes);
			const nowMs = performance.now();
			this.#freeMs = Math.max(this.#freeMs, nowMs) + (part.length / bytesPerMs);
			if (this.#freeMs - nowMs > maxQueueMs) {
				server.pause();
			}

			setTimeout(() => {
				if (!client.destroyed) {
					client.write(part);
				}

				if (this.#freeMs - performance.now() <= maxQueueMs) {
					server.resume();
				}
			}, this.#freeMs - nowMs);
		}
	}
}

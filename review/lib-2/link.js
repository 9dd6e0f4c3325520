import {connect, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/**
 * Link between a listening address and a server, with a delay each way. `silence` lets all open connections go silent for good, without a
 * reset, while new ones work.
 */
export class Link {
	#options;
	#server;
	#pairs = new Set();

	/** `oneWayMs`: delay of all bytes, and of the first ones of a connection. */
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

	/** Lets the connections that are open now go silent; returns their number. */
	silence() {
		let count = 0;
		for (const pair of this.#pairs) {
			count += pair.isSilent ? 0 : 1;
			pair.isSilent = true;
		}

		return count;
	}

	close() {
		this.#server.close();
		for (const {client, server} of this.#pairs) {
			client.destroy();
			server.destroy();
		}
	}

	#accept(client) {
		const {target, targetPort} = this.#options;
		const server = connect({host: target, port: targetPort, noDelay: true});
		const pair = {client, server, isSilent: false};
		this.#pairs.add(pair);
		this.#forward(pair, client, server);
		this.#forward(pair, server, client);
		client.once('close', () => {
			this.#pairs.delete(pair);
			server.destroy();
		});
	}

	#forward(pair, from, to) {
		const pass = async act => {
			await delay(this.#options.oneWayMs);
			if (!pair.isSilent) {
				act();
			}
		};

		from.on('data', data => {
			pass(() => to.write(data));
		}).on('end', () => {
			pass(() => to.end());
		}).on('error', () => {
			pass(() => to.destroy());
		});
	}
}

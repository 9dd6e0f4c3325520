import {createServer, request} from 'node:http';

/**
 * Way of one machine to the store. While it rejects, each call that counts toward the rate limit gets 429, and its waiting watches are cut; a
 * read with `stale_read`, which does not count toward the limit, is served.
 */
export class StoreGate {
	/** Number of watch calls so far. */
	watches = 0;
	isRejecting = false;
	#options;
	#server;
	#waiting = new Set();

	/** `rejectsAll`: reads with `stale_read` are rejected, too. */
	constructor(options) {
		this.#options = options;
	}

	async listen() {
		const {address, port} = this.#options;
		this.#server = createServer({keepAliveTimeout: 60_000}, (req, res) => {
			this.#forward(req, res);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject).listen(port, address, resolve);
		});
	}

	reject() {
		this.isRejecting = true;
		for (const res of this.#waiting) {
			res.destroy();
		}
	}

	accept() {
		this.isRejecting = false;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#forward(req, res) {
		const isWatch = req.url.startsWith('/-/kv-watch');
		this.watches += isWatch ? 1 : 0;
		if (this.isRejecting && (this.#options.rejectsAll || !/[&?]stale_read=1\b/.test(req.url))) {
			req.resume();
			res.writeHead(429).end();
			return;
		}

		if (isWatch) {
			this.#waiting.add(res);
		}

		const {target, targetPort} = this.#options;
		const call = request({
			host: target, port: targetPort, method: req.method, path: req.url, headers: req.headers,
		}, answer => {
			res.writeHead(answer.statusCode, answer.headers);
			answer.pipe(res);
		});
		call.on('error', () => {
			res.destroy();
		});
		res.on('close', () => {
			this.#waiting.delete(res);
			call.destroy();
		});
		req.pipe(call);
	}
}

import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const port = 8080;
const slots = 3;
const queue = 9;
/** Time for which an instance is cold after a start during traffic, as the configuration states it. */
const coldMs = 3000;

async function bodyOf(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/**
 * Instance as PROTOCOL.md describes it: it runs as many requests at a time as it has slots, queues a few more and sheds the rest,
 * drops requests whose connection closes, and crashes when it begins to run a request that `isFatal` names.
 */
export class Instance {
	id;
	/** All requests that reached the instance and were not refused: id, target, time of arrival, and their end. */
	arrivals = [];
	crashes = 0;
	#options;
	#server;
	#sockets = new Set();
	#running = 0;
	#waiting = [];
	#born = Date.now();
	/** Number of the present process; what earlier ones began has no effect any more. */
	#epoch = 0;

	/** `keepsId`: after a crash the instance starts again under the id that it had. */
	constructor(options) {
		this.#options = options;
		this.id = options.id;
	}

	async start() {
		const {address} = this.#options;
		this.#server = createServer({keepAliveTimeout: 10_000}, (req, res) => {
			this.#handle(req, res).catch(() => undefined);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket)).on('error', () => undefined);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject).listen(port, address, resolve);
		});
	}

	register(isCold = false) {
		const {store, documents, address, zone, service} = this.#options;
		store.write(`servers/${this.id}`, documents.instance(`${address}:${port}`, {
			zone, service, born: this.#born, slots, coldMs: isCold ? coldMs : 0,
		}));
	}

	async close() {
		this.#server?.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async #handle(req, res) {
		const requestId = req.headers['x-request-id'];
		if (req.headers['x-expected-instance'] !== undefined && req.headers['x-expected-instance'] !== this.id) {
			res.writeHead(421, {'X-Request-Id': requestId, 'X-Instance-Id': this.id}).end();
			return;
		}

		if (this.#running >= slots && this.#waiting.length >= queue) {
			res.writeHead(503, {'X-Request-Id': requestId, 'X-Not-Executed': '1'}).end();
			return;
		}

		const arrival = {
			requestId, target: req.url, atMs: performance.now(), instance: this.id, end: 'running',
		};
		res.once('close', () => {
			if (arrival.end === 'running') {
				arrival.end = 'broken off';
			}
		});
		const epoch = this.#epoch;
		const body = await bodyOf(req);
		await this.#takeSlot();
		if (epoch !== this.#epoch) {
			return;
		}

		this.arrivals.push(arrival);
		if (this.#options.isFatal(req, body)) {
			arrival.end = 'crash';
			await this.#crash();
			return;
		}

		await delay(this.#options.runMs);
		if (epoch !== this.#epoch) {
			return;
		}

		this.#freeSlot();
		if (arrival.end === 'running') {
			arrival.end = 'answered';
			res.writeHead(200, {
				'X-Request-Id': requestId, 'X-Response-Signature': 's', 'X-Server-Load': `${this.#running},${this.#waiting.length},${slots}`,
			}).end(`answer to ${requestId}`);
		}
	}

	async #takeSlot() {
		if (this.#running >= slots) {
			await new Promise(resolve => {
				this.#waiting.push(resolve);
			});
		}

		this.#running++;
	}

	#freeSlot() {
		this.#running--;
		this.#waiting.shift()?.();
	}

	async #crash() {
		const {downMs, keepsId, store} = this.#options;
		this.crashes++;
		this.#epoch++;
		this.#running = 0;
		this.#waiting = [];
		const crashed = this.id;
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		await delay(downMs);
		this.#born = Date.now();
		if (!keepsId) {
			this.id = `${this.#options.id}-${this.crashes}`;
		}

		await this.start();
		this.register(true);
		if (!keepsId) {
			// The entry of the former process is removed after three heartbeat intervals of silence.
			await delay(Math.max(0, 4500 - downMs));
			store.remove(`servers/${crashed}`);
		}
	}
}

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {collectBody} from './collect-body.js';
import {HttpStandIn} from './http-stand-in.js';

type UpstreamOptions = {
	readonly id: string;
	/** Number of requests that run concurrently. */
	readonly slots: number;
	/** Number of requests that wait for a slot before the instance sheds. */
	readonly backlog: number;
	/** Mean of the exponential service time, in milliseconds. */
	readonly meanMs: number;
	/** Seeded generator of numbers from 0 to 1. */
	readonly random: () => number;
	/** Number of requests after a start that take three times as long. */
	readonly coldRequests: number;
	/** Time after a crash until the instance listens again, in milliseconds. */
	readonly restartMs: number;
};

type Mode = {
	/** The instance reports that it is leaving. */
	isLeaving: boolean;
	/** Connections opened before this time get no responses; later ones work. In milliseconds since the epoch. */
	silentBeforeMs: number;
	/** No request receives a response. */
	isFrozen: boolean;
	/** Health checks report no requests in flight. */
	isLying: boolean;
	/** Responses carry the id of another request. */
	isCrossing: boolean;
	/** Responses are truncated to half of the body. */
	isTruncating: boolean;
	/** Every request is shed. */
	isShedding: boolean;
	/** Every request crashes the instance. */
	isFaulty: boolean;
};

type QueuedRequest = {readonly start: () => void};

const coldServiceTimeFactor = 3;
/** Time after the instance starts to report that it is leaving within which new requests may still arrive. */
const leavingGraceMs = 3000;

/** Upstream instance with slots, cold start, draining, shedding, crashes and silent connections; counts every run. */
export class UpstreamStandIn {
	/** Number of runs by idempotency key. */
	readonly runsByKey = new Map<string, number>();
	/** Number of runs by request body. */
	readonly runsByBody = new Map<string, number>();
	/** Number of runs by request id. */
	readonly runsByRequest = new Map<string, number>();
	readonly counts = {
		runs: 0, shed: 0, cancelled: 0, crashes: 0, newWorkAfterLeaving: 0, peakInFlight: 0, busyMs: 0,
	};

	readonly #options: UpstreamOptions;
	readonly #openedAtMs = new WeakMap<Socket, number>();
	readonly #queue: QueuedRequest[] = [];
	readonly #mode: Mode = {
		isLeaving: false, silentBeforeMs: 0, isFrozen: false, isLying: false, isCrossing: false, isTruncating: false, isShedding: false, isFaulty: false,
	};

	#http: HttpStandIn;
	#listenAddress = {host: '127.0.0.1', port: 0};
	#inFlight = 0;
	#runsSinceStart = 0;
	#leavingSinceMs = 0;
	#generation = 0;

	constructor(options: UpstreamOptions) {
		this.#options = options;
		this.#http = this.#newServer();
	}

	async listen(host: string, port: number): Promise<number> {
		const actual = await this.#http.listen(host, port);
		this.#listenAddress = {host, port: actual};
		return actual;
	}

	async close(): Promise<void> {
		this.#generation++;
		await this.#http.close();
	}

	/** Changes the given modes; the others stay. */
	setMode(mode: Partial<Mode>): void {
		if (mode.isLeaving === true && !this.#mode.isLeaving) {
			this.#leavingSinceMs = Date.now();
		}

		Object.assign(this.#mode, mode);
	}

	/** Sends no more responses on the connections that are open now; new connections work. */
	silenceOpenConnections(): void {
		this.#mode.silentBeforeMs = Date.now();
	}

	/** Closes every connection, discards all requests and starts again cold after the restart time. */
	async crash(): Promise<void> {
		this.counts.crashes++;
		this.#generation++;
		this.#inFlight = 0;
		this.#runsSinceStart = 0;
		this.#queue.length = 0;
		const generation = this.#generation;
		await this.#http.close();
		setTimeout(() => {
			if (this.#generation === generation) {
				this.#http = this.#newServer();
				void this.#http.listen(this.#listenAddress.host, this.#listenAddress.port);
			}
		}, this.#options.restartMs).unref();
	}

	#newServer(): HttpStandIn {
		return new HttpStandIn((req, res) => {
			void this.#handle(req, res);
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {socket} = req;
		const openedAtMs = this.#openedAtMs.get(socket) ?? Date.now();
		this.#openedAtMs.set(socket, openedAtMs);
		if (this.#mode.isFrozen || openedAtMs < this.#mode.silentBeforeMs) {
			return;
		}

		const body = await collectBody(req).catch(() => undefined);
		if (body === undefined) {
			return;
		}

		if (req.url === '/health') {
			this.#respondToHealthCheck(res);
			return;
		}

		this.#admit(req, res, body);
	}

	#respondToHealthCheck(res: ServerResponse): void {
		res.writeHead(200, {'content-type': 'application/json'});
		res.end(JSON.stringify({
			state: this.#mode.isLeaving ? 'leaving' : 'live',
			inFlight: this.#mode.isLying ? 0 : this.#inFlight,
			slots: this.#options.slots,
		}));
	}

	#admit(req: IncomingMessage, res: ServerResponse, body: string): void {
		if (this.#mode.isLeaving && Date.now() - this.#leavingSinceMs > leavingGraceMs) {
			this.counts.newWorkAfterLeaving++;
		}

		const isFull = this.#inFlight >= this.#options.slots && this.#queue.length >= this.#options.backlog;
		if (isFull || this.#mode.isShedding) {
			this.counts.shed++;
			res.writeHead(503, {...this.#commonHeaders(req), 'cowslipspar-not-run': '1'}).end();
			return;
		}

		const start = () => {
			this.#run(req, res, body);
		};

		if (this.#inFlight < this.#options.slots) {
			start();
			return;
		}

		const queuedRequest = {start};
		this.#queue.push(queuedRequest);
		res.once('close', () => {
			const index = this.#queue.indexOf(queuedRequest);
			if (index !== -1) {
				this.counts.cancelled++;
				this.#queue.splice(index, 1);
			}
		});
	}

	#run(req: IncomingMessage, res: ServerResponse, body: string): void {
		const generation = this.#generation;
		this.#inFlight++;
		this.counts.runs++;
		this.counts.peakInFlight = Math.max(this.counts.peakInFlight, this.#inFlight);
		increment(this.runsByRequest, req.headers['x-request-id'] as string);
		increment(this.runsByBody, body);
		increment(this.runsByKey, req.headers['idempotency-key'] as string | undefined);
		if (this.#mode.isFaulty || body.includes('poison')) {
			void this.crash();
			return;
		}

		const serviceMs = this.#drawServiceMs(req);
		this.#runsSinceStart++;
		let isDone = false;
		const finish = () => {
			if (isDone || generation !== this.#generation) {
				return;
			}

			isDone = true;
			clearTimeout(timer);
			this.#inFlight--;
			this.counts.busyMs += serviceMs;
			this.#queue.shift()?.start();
		};

		const timer = setTimeout(() => {
			if (generation === this.#generation && !isDone && !this.#mode.isFrozen) {
				finish();
				this.#respond(req, res, body);
			}
		}, serviceMs);
		res.once('close', () => {
			if (!isDone) {
				this.counts.cancelled++;
				finish();
			}
		});
	}

	#drawServiceMs(req: IncomingMessage): number {
		const requestedMeanMs = new URL(req.url ?? '/', 'http://upstream').searchParams.get('ms');
		const meanMs = requestedMeanMs === null ? this.#options.meanMs : Number(requestedMeanMs);
		const ms = -Math.log(1 - this.#options.random()) * meanMs;
		return this.#runsSinceStart < this.#options.coldRequests ? ms * coldServiceTimeFactor : ms;
	}

	#respond(req: IncomingMessage, res: ServerResponse, body: string): void {
		if ((this.#openedAtMs.get(req.socket) ?? 0) < this.#mode.silentBeforeMs) {
			return;
		}

		const text = JSON.stringify({instance: this.#options.id, echo: body, path: req.url});
		const headers = {
			...this.#commonHeaders(req),
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text),
			'content-digest': `sha-256=:${createHash('sha256').update(text).digest('base64')}:`,
		};
		res.writeHead(200, headers);
		if (this.#mode.isTruncating) {
			res.write(text.slice(0, text.length / 2), () => {
				res.destroy();
			});
			return;
		}

		res.end(text);
	}

	#commonHeaders(req: IncomingMessage): Record<string, string> {
		const id = this.#mode.isCrossing ? 'another-request' : String(req.headers['x-request-id']);
		return {'x-request-id': id, ...(this.#mode.isLeaving && {'cowslipspar-leaving': '1'})};
	}
}

function increment(counts: Map<string, number>, key: string | undefined): void {
	if (key !== undefined) {
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}
}

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {collectBody} from './collect-body.js';
import {HttpStandIn} from './http-stand-in.js';

type UpstreamOptions = {
	readonly id: string;
	/** Requests that run at once. */
	readonly slots: number;
	/** Requests that wait beyond the slots before the instance sheds. */
	readonly backlog: number;
	/** Mean of the exponential service time, in milliseconds. */
	readonly meanMs: number;
	/** Seeded generator of numbers from 0 to 1. */
	readonly random: () => number;
	/** Requests after a start that take three times as long. */
	readonly coldRequests: number;
	/** Time after a crash in which the instance is down, in milliseconds. */
	readonly restartMs: number;
};

type Mode = {
	/** The instance says that it is leaving. */
	isLeaving: boolean;
	/** Open connections go silent; new ones work. */
	silentBeforeMs: number;
	/** Nothing is answered at all. */
	isFrozen: boolean;
	/** Reports no load whatever it carries. */
	isLying: boolean;
	/** Answers carry another request's id. */
	isCrossing: boolean;
	/** Answers break off half-way. */
	isTruncating: boolean;
	/** Every request is shed. */
	isShedding: boolean;
	/** Every request crashes the instance. */
	isFaulty: boolean;
};

type Waiting = {readonly start: () => void};

const coldFactor = 3;
/** Time after the first sign of leaving within which new work may still arrive, in milliseconds. */
const leavingGraceMs = 3000;

/** One upstream instance: slots, cold start, drain, shedding, crashes, silence; it keeps the truth of what ran. */
export class UpstreamStandIn {
	/** Runs by idempotency key. */
	readonly runsByKey = new Map<string, number>();
	/** Runs by request body. */
	readonly runsByBody = new Map<string, number>();
	/** Runs by request id. */
	readonly runsByRequest = new Map<string, number>();
	readonly counts = {
		runs: 0, shed: 0, cancelled: 0, crashes: 0, newWorkAfterLeaving: 0, peakInFlight: 0, busyMs: 0,
	};

	readonly #options: UpstreamOptions;
	readonly #openedMs = new WeakMap<Socket, number>();
	readonly #waiting: Waiting[] = [];
	readonly #mode: Mode = {
		isLeaving: false, silentBeforeMs: 0, isFrozen: false, isLying: false, isCrossing: false, isTruncating: false, isShedding: false, isFaulty: false,
	};

	#http: HttpStandIn;
	#place = {host: '127.0.0.1', port: 0};
	#inFlight = 0;
	#sinceStart = 0;
	#leavingSinceMs = 0;
	#generation = 0;

	constructor(options: UpstreamOptions) {
		this.#options = options;
		this.#http = this.#newServer();
	}

	async listen(host: string, port: number): Promise<number> {
		const actual = await this.#http.listen(host, port);
		this.#place = {host, port: actual};
		return actual;
	}

	async close(): Promise<void> {
		this.#generation++;
		await this.#http.close();
	}

	/** Changes how the instance behaves. */
	setMode(mode: Partial<Mode>): void {
		if (mode.isLeaving === true && !this.#mode.isLeaving) {
			this.#leavingSinceMs = Date.now();
		}

		Object.assign(this.#mode, mode);
	}

	/** Makes the connections open now silent for good; new ones work. */
	silenceOpenConnections(): void {
		this.#mode.silentBeforeMs = Date.now();
	}

	/** Cuts every connection, forgets all work and comes back cold after the restart time. */
	async crash(): Promise<void> {
		this.counts.crashes++;
		this.#generation++;
		this.#inFlight = 0;
		this.#sinceStart = 0;
		this.#waiting.length = 0;
		const generation = this.#generation;
		await this.#http.close();
		setTimeout(() => {
			if (this.#generation === generation) {
				this.#http = this.#newServer();
				void this.#http.listen(this.#place.host, this.#place.port);
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
		const opened = this.#openedMs.get(socket) ?? Date.now();
		this.#openedMs.set(socket, opened);
		if (this.#mode.isFrozen || opened < this.#mode.silentBeforeMs) {
			return;
		}

		const body = await collectBody(req).catch(() => undefined);
		if (body === undefined) {
			return;
		}

		if (req.url === '/health') {
			this.#answerHealth(res);
			return;
		}

		this.#admit(req, res, body);
	}

	#answerHealth(res: ServerResponse): void {
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

		const isFull = this.#inFlight >= this.#options.slots && this.#waiting.length >= this.#options.backlog;
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

		const waiting = {start};
		this.#waiting.push(waiting);
		res.once('close', () => {
			const index = this.#waiting.indexOf(waiting);
			if (index !== -1) {
				this.counts.cancelled++;
				this.#waiting.splice(index, 1);
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

		const serviceMs = this.#serviceTime(req);
		this.#sinceStart++;
		let isDone = false;
		const finish = () => {
			if (isDone || generation !== this.#generation) {
				return;
			}

			isDone = true;
			clearTimeout(timer);
			this.#inFlight--;
			this.counts.busyMs += serviceMs;
			this.#waiting.shift()?.start();
		};

		const timer = setTimeout(() => {
			if (generation === this.#generation && !isDone && !this.#mode.isFrozen) {
				finish();
				this.#answer(req, res, body);
			}
		}, serviceMs);
		res.once('close', () => {
			if (!isDone) {
				this.counts.cancelled++;
				finish();
			}
		});
	}

	#serviceTime(req: IncomingMessage): number {
		const asked = new URL(req.url ?? '/', 'http://upstream').searchParams.get('ms');
		const mean = asked === null ? this.#options.meanMs : Number(asked);
		const ms = -Math.log(1 - this.#options.random()) * mean;
		return this.#sinceStart < this.#options.coldRequests ? ms * coldFactor : ms;
	}

	#answer(req: IncomingMessage, res: ServerResponse, body: string): void {
		if ((this.#openedMs.get(req.socket) ?? 0) < this.#mode.silentBeforeMs) {
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

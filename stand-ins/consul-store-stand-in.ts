import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {collectBody} from './collect-body.js';
import {HttpStandIn} from './http-stand-in.js';

type Entry = {value: string; index: number; session: string | undefined};
type Session = {expiresMs: number; ttlMs: number};

type StoreFaults = {
	/** Calls made during the outage never receive a response. A watch that was already waiting receives one if the outage ends before its wait time does. */
	readonly isOut: boolean;
	/** Delay of every response, in milliseconds. */
	readonly slowMs: number;
	/** Share of writes that take effect and whose response is lost, from 0 to 1. */
	readonly lostAnswers: number;
	/** Reads return the value before the latest write. */
	readonly isStale: boolean;
};

type StoreLimits = {readonly readsPerSecond: number; readonly writesPerSecond: number};

const maxValueBytes = 1_048_576;
const defaultLimits: StoreLimits = {readsPerSecond: 2000, writesPerSecond: 300};
const noFaults: StoreFaults = {
	isOut: false, slowMs: 0, lostAnswers: 0, isStale: false,
};

/** Key-value store with a subset of the Consul KV and session HTTP API, with rate limits and faults. */
export class ConsulStoreStandIn {
	readonly #http = new HttpStandIn((req, res) => {
		void this.#handle(req, res);
	});

	readonly #entries = new Map<string, Entry>();
	readonly #previous = new Map<string, Entry>();
	readonly #sessions = new Map<string, Session>();
	readonly #waitingReads = new Set<() => void>();
	readonly #limits: StoreLimits;
	readonly #calls = {
		reads: 0, writes: 0, watches: 0, throttled: 0,
	};

	readonly #random: () => number;
	#faults = noFaults;
	#index = 1;
	#rateWindow = {startMs: 0, reads: 0, writes: 0};

	constructor(limits: StoreLimits = defaultLimits, random: () => number = Math.random) {
		this.#limits = limits;
		this.#random = random;
	}

	/** Number of calls so far, by kind. */
	get calls(): Readonly<{reads: number; writes: number; watches: number; throttled: number}> {
		return this.#calls;
	}

	async listen(host: string, port: number): Promise<number> {
		return this.#http.listen(host, port);
	}

	async close(): Promise<void> {
		await this.#http.close();
	}

	/** Replaces the faults; those not given are reset to none. */
	setFaults(faults: Partial<StoreFaults>): void {
		this.#faults = {...noFaults, ...faults};
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://store');
		const body = await collectBody(req).catch(() => '');
		if (url.pathname === '/stand-in/faults') {
			this.setFaults(JSON.parse(body) as Partial<StoreFaults>);
			res.end('{}');
			return;
		}

		if (url.pathname === '/stand-in/calls') {
			res.end(JSON.stringify(this.#calls));
			return;
		}

		if (this.#faults.isOut) {
			return;
		}

		if (this.#faults.slowMs > 0) {
			await delay(this.#faults.slowMs);
		}

		if (this.#isOverRate(req.method === 'PUT')) {
			this.#calls.throttled++;
			res.writeHead(429).end();
			return;
		}

		if (url.pathname.startsWith('/v1/kv/')) {
			await this.#handleKv(req.method ?? 'GET', url, body, res);
		} else if (url.pathname.startsWith('/v1/session/')) {
			this.#handleSession(url, body, res);
		} else {
			res.writeHead(404).end();
		}
	}

	async #handleKv(method: string, url: URL, body: string, res: ServerResponse): Promise<void> {
		const key = url.pathname.slice('/v1/kv/'.length);
		if (method === 'PUT') {
			this.#calls.writes++;
			this.#write(key, url.searchParams, body, res);
			return;
		}

		const after = Number(url.searchParams.get('index') ?? 0);
		if (after > 0) {
			this.#calls.watches++;
			await this.#waitForChange(key, after, Number.parseInt(url.searchParams.get('wait') ?? '60000', 10), res);
		} else {
			this.#calls.reads++;
		}

		if (!this.#faults.isOut) {
			this.#respondToRead(key, res);
		}
	}

	#write(key: string, query: URLSearchParams, body: string, res: ServerResponse): void {
		if (Buffer.byteLength(body) > maxValueBytes) {
			res.writeHead(413).end();
			return;
		}

		const current = this.#entries.get(key);
		const cas = query.get('cas');
		const acquire = query.get('acquire');
		const isHeld = current?.session !== undefined && this.#isSessionLive(current.session);
		const isRefused = (cas !== null && Number(cas) !== (current?.index ?? 0)) || (acquire !== null && (!this.#isSessionLive(acquire) || (isHeld && current.session !== acquire)));
		if (!isRefused) {
			this.#index++;
			if (current !== undefined) {
				this.#previous.set(key, current);
			}

			this.#entries.set(key, {value: body, index: this.#index, session: acquire ?? current?.session});
			this.#wakeWaitingReads();
		}

		if (this.#random() < this.#faults.lostAnswers) {
			res.destroy();
			return;
		}

		res.end(isRefused ? 'false' : 'true');
	}

	#respondToRead(key: string, res: ServerResponse): void {
		const entry = this.#faults.isStale ? this.#previous.get(key) ?? this.#entries.get(key) : this.#entries.get(key);
		if (entry === undefined) {
			res.writeHead(404, {'x-consul-index': String(this.#index)}).end();
			return;
		}

		res.writeHead(200, {'content-type': 'application/json', 'x-consul-index': String(entry.index)});

		res.end(JSON.stringify([{
			Key: key, Value: Buffer.from(entry.value).toString('base64'), ModifyIndex: entry.index, Session: entry.session,
		}]));
	}

	#handleSession(url: URL, body: string, res: ServerResponse): void {
		const [operation, id] = url.pathname.slice('/v1/session/'.length).split('/');
		if (operation === 'create') {
			const ttl = (JSON.parse(body === '' ? '{}' : body) as {TTL?: string}).TTL ?? '15s';
			const ttlMs = Number.parseFloat(ttl) * 1000;
			const created = randomUUID();
			this.#sessions.set(created, {ttlMs, expiresMs: Date.now() + ttlMs});
			res.end(JSON.stringify({ID: created}));
			return;
		}

		const session = id === undefined ? undefined : this.#sessions.get(id);
		if (id === undefined || session === undefined || !this.#isSessionLive(id)) {
			res.writeHead(404).end();
			return;
		}

		if (operation === 'renew') {
			session.expiresMs = Date.now() + session.ttlMs;
		} else {
			this.#sessions.delete(id);
		}

		res.end('true');
	}

	#isSessionLive(session: string): boolean {
		return (this.#sessions.get(session)?.expiresMs ?? 0) > Date.now();
	}

	async #waitForChange(key: string, after: number, waitMs: number, res: ServerResponse): Promise<void> {
		const endMs = Date.now() + waitMs;
		while ((this.#faults.isOut || (this.#entries.get(key)?.index ?? 0) === after) && Date.now() < endMs && !res.destroyed) {
			await new Promise<void>(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waitingReads.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(1000, Math.max(1, endMs - Date.now())));
				this.#waitingReads.add(wake);
			});
		}
	}

	#wakeWaitingReads(): void {
		for (const wake of this.#waitingReads) {
			wake();
		}
	}

	#isOverRate(isWrite: boolean): boolean {
		const nowMs = Date.now();
		if (nowMs - this.#rateWindow.startMs >= 1000) {
			this.#rateWindow = {startMs: nowMs, reads: 0, writes: 0};
		}

		if (isWrite) {
			this.#rateWindow.writes++;
			return this.#rateWindow.writes > this.#limits.writesPerSecond;
		}

		this.#rateWindow.reads++;
		return this.#rateWindow.reads > this.#limits.readsPerSecond;
	}
}

async function delay(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

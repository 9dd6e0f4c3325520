import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {collectBody} from './collect-body.js';
import {HttpStandIn} from './http-stand-in.js';
import {KvContents} from './kv-contents.js';

type Txn = {
	readonly precondition?: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly puts?: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease_id?: number}>;
	readonly remove?: readonly string[];
};

type KvFaults = {
	/** `silent` never responds, `busy` responds with 503, `many` with 429, and `reset` closes the connection. */
	readonly mode: 'none' | 'silent' | 'busy' | 'many' | 'reset';
	/** Delay of every response, in milliseconds. */
	readonly slowMs: number;
	/** POST calls (transactions, and grants and renewals of leases) take effect and their responses are lost. */
	readonly isLosingResponses: boolean;
};

const noFaults: KvFaults = {mode: 'none', slowMs: 0, isLosingResponses: false};
const maxEntriesPerTxn = 32;
const maxValueBytes = 1_048_576;
const base64CharsPerByte = 4 / 3;
const maxItemsPerPage = 50;

/** Key-value store of the platform: one revision counter, paged range reads, watches, leases and conditional transactions. */
export class KvStoreStandIn {
	/** Number of calls received, by path. */
	readonly calls = new Map<string, number>();
	readonly #http = new HttpStandIn((req, res) => {
		void this.#handle(req, res);
	});

	readonly #contents = new KvContents(() => {
		this.#wakeWatches();
	});

	readonly #waitingWatches = new Set<() => void>();
	readonly #callsPerSecond: number;
	/** Last value that `write` set for each key: what operators and instances have. */
	readonly #written = new Map<string, unknown>();
	/** Era that the responses state; `undefined` for a store without eras. */
	#era: number | undefined;
	#faults = noFaults;
	#rateWindow = {startMs: 0, calls: 0};

	constructor(callsPerSecond = 2000, era?: number) {
		this.#callsPerSecond = callsPerSecond;
		this.#era = era;
	}

	/** Number of watch calls received. */
	get watches(): number {
		return this.calls.get('/-/kv-watch') ?? 0;
	}

	async listen(host: string, port: number): Promise<number> {
		return this.#http.listen(host, port);
	}

	async close(): Promise<void> {
		await this.#http.close();
	}

	/** Replaces the faults; those not given are reset to none. */
	setFaults(faults: Partial<KvFaults>): void {
		this.#faults = {...noFaults, ...faults};
	}

	/** Writes a key, as an operator or an instance does, and returns the revision. */
	write(key: string, value: unknown): number {
		this.#written.set(key, value);
		return this.#contents.put(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), 0);
	}

	/** Removes a key, as the platform does. */
	remove(key: string): void {
		this.#written.delete(key);
		this.#contents.remove(key);
	}

	/** Returns a copy of everything that the store keeps. */
	copy(): ReturnType<KvContents['copy']> {
		return this.#contents.copy();
	}

	/**
	 * Restores a copy: all writes, leases and revisions since then are gone, and a store with eras states the next one. `keepsWatches`
	 * lets the waiting watches wait on, as those of a store do that replaces its contents without a restart.
	 */
	restore(copy: ReturnType<KvContents['copy']>, {keepsWatches = false} = {}): void {
		this.#contents.restore(copy);
		this.#era = this.#era === undefined ? undefined : this.#era + 1;
		if (!keepsWatches) {
			this.#http.destroyConnections();
		}
	}

	/** Writes again what `write` and `remove` changed last, as operators and instances do after a restore. */
	writeAgain(): void {
		for (const [key, value] of this.#written) {
			this.write(key, value);
		}

		for (const {key, lease_id: leaseId} of this.#contents.items) {
			if (leaseId === 0 && !this.#written.has(key)) {
				this.#contents.remove(key);
			}
		}
	}

	/** Returns the value of a key as text. */
	read(key: string): string | undefined {
		const item = this.#contents.get(key);
		return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString();
	}

	/** Drops the history, so that a watch from an earlier revision receives status 410 and its caller needs a full read. */
	compact(): void {
		this.#contents.compact();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://store');
		this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
		const body = await collectBody(req).catch(() => '');
		const setEra = () => {
			if (this.#era !== undefined) {
				res.setHeader('Store-Era', this.#era);
			}
		};

		setEra();
		if (await this.#isHandledByFault(req, res)) {
			return;
		}

		this.#contents.expireLeases(performance.now());
		const {status, json} = await this.#respond(req.method ?? 'GET', url, body);
		if (this.#faults.isLosingResponses && req.method === 'POST') {
			req.socket.destroy();
			return;
		}

		// A restore may have taken place while the call waited.
		setEra();
		res.writeHead(status, {'Content-Type': 'application/json'}).end(JSON.stringify(json));
	}

	async #isHandledByFault(req: IncomingMessage, res: ServerResponse): Promise<boolean> {
		const {mode, slowMs} = this.#faults;
		await new Promise(resolve => {
			setTimeout(resolve, slowMs);
		});
		switch (mode) {
			case 'silent': {
				return true;
			}

			case 'reset': {
				req.socket.destroy();
				return true;
			}

			case 'busy':
			case 'many': {
				res.writeHead(mode === 'busy' ? 503 : 429).end();
				return true;
			}

			case 'none': {
				return this.#isOverRate(res);
			}
		}
	}

	#isOverRate(res: ServerResponse): boolean {
		const nowMs = performance.now();
		if (nowMs - this.#rateWindow.startMs >= 1000) {
			this.#rateWindow = {startMs: nowMs, calls: 0};
		}

		this.#rateWindow.calls++;
		if (this.#rateWindow.calls <= this.#callsPerSecond) {
			return false;
		}

		res.writeHead(429).end();
		return true;
	}

	async #respond(method: string, url: URL, body: string): Promise<{status: number; json: unknown}> {
		const [call, id] = url.pathname.split('/').slice(2);
		switch (`${method} ${call}`) {
			case 'GET kv-key': {
				const item = this.#contents.get(url.searchParams.get('key') ?? '');
				return item === undefined ? {status: 404, json: {}} : {status: 200, json: {...item, at: this.#contents.revision}};
			}

			case 'GET kv-range': {
				return this.#range(url.searchParams.get('prefix') ?? '', url.searchParams.get('after') ?? '');
			}

			case 'GET kv-watch': {
				return this.#watch(url.searchParams.get('prefix') ?? '', Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms')));
			}

			case 'POST kv-txn': {
				return this.#txn(JSON.parse(body) as Txn);
			}

			case 'POST kv-lease': {
				const {ttl_ms: ttlMs} = JSON.parse(body) as {ttl_ms: number};
				const leaseId = this.#contents.openLease(ttlMs, performance.now());
				return {status: 200, json: {lease_id: leaseId, ttl_ms: ttlMs}};
			}

			case 'POST kv-keep': {
				const ttlMs = this.#contents.renewLease(Number(id), performance.now());
				return ttlMs === undefined ? {status: 404, json: {}} : {status: 200, json: {ttl_ms: ttlMs}};
			}

			case 'DELETE kv-lease-end': {
				const isKnown = this.#contents.hasLease(Number(id));
				this.#contents.endLease(Number(id));
				return {status: isKnown ? 200 : 404, json: {}};
			}

			default: {
				return {status: 404, json: {error: 'unknown call'}};
			}
		}
	}

	#range(prefix: string, after: string): {status: number; json: unknown} {
		const all = this.#contents.items.filter(item => item.key.startsWith(prefix) && item.key > after).toSorted((a, b) => (a.key < b.key ? -1 : 1));
		return {status: 200, json: {items: all.slice(0, maxItemsPerPage), has_more: all.length > maxItemsPerPage, at: this.#contents.revision}};
	}

	async #watch(prefix: string, after: number, waitMs: number): Promise<{status: number; json: unknown}> {
		const untilMs = performance.now() + waitMs;
		for (;;) {
			const events = this.#contents.eventsAfter(after, prefix);
			if (events === undefined || (after > this.#contents.revision && this.#era !== undefined)) {
				return {status: 410, json: {}};
			}

			const remainingMs = untilMs - performance.now();
			if (events.length > 0 || remainingMs <= 0) {
				return {status: 200, json: {events, at: this.#contents.revision}};
			}

			await this.#nextChange(remainingMs);
		}
	}

	async #nextChange(timeoutMs: number): Promise<void> {
		return new Promise(resolve => {
			const settle = () => {
				clearTimeout(timer);
				this.#waitingWatches.delete(settle);
				resolve();
			};

			const timer = setTimeout(settle, timeoutMs);
			this.#waitingWatches.add(settle);
		});
	}

	#txn({precondition = [], puts = [], remove = []}: Txn): {status: number; json: unknown} {
		if (precondition.length + puts.length + remove.length > maxEntriesPerTxn) {
			return {status: 400, json: {error: 'too many entries in the transaction'}};
		}

		if (puts.some(row => row.value.length > maxValueBytes * base64CharsPerByte)) {
			return {status: 400, json: {error: 'a value is too large'}};
		}

		const failed = precondition.some(row => (this.#contents.get(row.key)?.revision ?? 0) !== row.revision);
		if (failed) {
			return {status: 412, json: {items: precondition.map(row => this.#contents.get(row.key)).filter(item => item !== undefined)}};
		}

		if (puts.some(row => row.lease_id !== undefined && row.lease_id !== 0 && !this.#contents.hasLease(row.lease_id))) {
			return {status: 404, json: {}};
		}

		for (const row of puts) {
			this.#contents.put(row.key, row.value, row.lease_id ?? 0);
		}

		for (const key of remove) {
			this.#contents.remove(key);
		}

		return {status: 200, json: {revision: this.#contents.revision}};
	}

	#wakeWatches(): void {
		for (const wakeWatch of this.#waitingWatches) {
			wakeWatch();
		}
	}
}

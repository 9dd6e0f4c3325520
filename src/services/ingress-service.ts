import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {hopHeaders} from '../adapters/hop-headers.js';
import {rawHeader} from '../adapters/raw-header.js';
import {type Clock} from '../contracts/clock.js';
import {type HttpDialect} from '../contracts/http-dialect.js';
import {type RouteTable} from '../contracts/route-table.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {departureSignal} from './departure-signal.js';
import {listenAt} from './listen-at.js';
import {type Logger} from './logger.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyRequest} from './proxy-request.js';
import {type ProxyService} from './proxy-service.js';

type IngressOptions = {
	/** IPv4 number and port. */
	readonly address: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly dialect: HttpDialect;
	readonly proxy: ProxyService;
};

type Limits = RouteTable['limits'];
type PlainAnswer = {readonly status: number; readonly headers: readonly string[]; readonly body?: Uint8Array};
type Answered = Extract<ProxyOutcome, {kind: 'answer'}>;

/** Largest head of a request that the parser accepts, in bytes; the configuration's limit lies below. */
const maxParsedHeaderBytes = 65_536;
/** Interval at which connections are checked for heads that take too long, in milliseconds. */
const checkIntervalMs = 1000;
/** Connections that wait to be accepted. */
const maxWaitingConnections = 1024;
/** Limits until the first configuration arrives. */
const initialLimits: Limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
};
const droppedFromAnswers = new Set(['content-length']);

/**
 * The clients' side of published routes over HTTP/1.1. A request with two lengths or a malformed head is refused by the
 * parser before anything of it is passed on.
 */
export class IngressService {
	readonly #options: IngressOptions;
	readonly #server: Server;
	#limits = initialLimits;
	#phase: 'serving' | 'closing' | 'refusing' = 'serving';

	constructor(options: IngressOptions) {
		this.#options = options;
		this.#server = createServer({
			maxHeaderSize: maxParsedHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: checkIntervalMs, noDelay: true,
		}, (req, res) => {
			void this.#serve(req, res);
		});
		this.setLimits(initialLimits);
	}

	/** Opens the address. */
	async start(lifecycle: Lifecycle): Promise<void> {
		await listenAt(this.#server, this.#options.address, maxWaitingConnections);
		lifecycle.own('ingress', () => {
			this.#server.close();
			this.#server.closeAllConnections();
		});
	}

	/** Puts new bounds into force. */
	setLimits(limits: Limits): void {
		this.#limits = limits;
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** Announces the end of each connection with its next answer. */
	closeConnections(): void {
		this.#phase = 'closing';
	}

	/** Refuses new requests, as too little time is left to serve them. */
	refuse(): void {
		this.#phase = 'refusing';
		this.#server.closeIdleConnections();
	}

	async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, dialect, proxy, logger} = this.#options;
		const arrivedMs = clock.nowMs();
		const departure = departureSignal(res);
		try {
			if (this.#phase === 'refusing') {
				this.#respond(req, res, {kind: 'not_run', reason: 'stopping', retryAfterMs: 0});
				return;
			}

			if (headBytes(req) > this.#limits.maxHeaderBytes) {
				this.#end(req, res, {status: 431, headers: []});
				return;
			}

			const outcome = await proxy.handle({
				...dialect.readRequest(req.headers),
				method: req.method!,
				host: req.headers.host ?? '',
				target: req.url!,
				headers: req.rawHeaders,
				arrivedMs,
				readBody: async maxBytes => this.#readBody(req, maxBytes),
				departure,
			});
			if (outcome.kind === 'answer') {
				await this.#answer(req, res, outcome);
			} else {
				this.#respond(req, res, outcome);
			}
		} catch (err) {
			logger.error('a request ended in an error', {err: err instanceof Error ? err.stack ?? err.message : String(err)});
			if (res.headersSent) {
				res.destroy();
			} else {
				this.#end(req, res, {status: 502, headers: []});
			}
		}
	}

	async #readBody(req: IncomingMessage, maxHeldBytes: number): ReturnType<ProxyRequest['readBody']> {
		const length = req.headers['content-length'];
		if (length === undefined && req.headers['transfer-encoding'] === undefined) {
			return {kind: 'none'};
		}

		const {maxBodyBytes} = this.#limits;
		if (Number(length ?? 0) > maxBodyBytes) {
			return {kind: 'too_large'};
		}

		const source = req[Symbol.asyncIterator]() as AsyncIterator<Uint8Array, unknown>;
		const chunks: Uint8Array[] = [];
		let size = 0;
		try {
			while (size <= maxHeldBytes) {
				const next = await source.next();
				if (next.done === true) {
					return {kind: 'whole', bytes: Buffer.concat(chunks)};
				}

				chunks.push(next.value);
				size += next.value.byteLength;
			}
		} catch {
			return {kind: 'broken'};
		}

		return {kind: 'stream', source: restOf(chunks, source, maxBodyBytes)};
	}

	async #answer(req: IncomingMessage, res: ServerResponse, {result}: Answered): Promise<void> {
		const headers = hopHeaders(result.headers, droppedFromAnswers);
		const isBodyless = req.method === 'HEAD' || result.status === 204 || result.status === 304;
		if (result.framing === 'connection' && !isBodyless) {
			// The end of such an answer may have come early: it is passed on without a claim that it is whole.
			res.useChunkedEncodingByDefault = false;
			res.shouldKeepAlive = false;
		}

		if (result.kind === 'whole' && result.framing === 'connection' && !isBodyless) {
			this.#prepare(req, res);
			res.writeHead(result.status, headers);
			res.end(result.body);
			return;
		}

		if (result.kind === 'whole') {
			const answer = isBodyless ? {headers: withLength(headers, result.headers)} : {headers, body: result.body};
			this.#end(req, res, {status: result.status, ...answer});
			return;
		}

		this.#prepare(req, res);
		res.writeHead(result.status, withLength(headers, result.headers));
		res.write(result.start);
		try {
			for await (const chunk of result.rest) {
				if (!res.write(chunk)) {
					await drained(res);
				}
			}

			res.end();
		} catch (err) {
			this.#options.logger.warn('an answer broke off after its start was passed on', {request: req.headers['x-request-id'], err: String(err)});
			res.destroy();
		}
	}

	#respond(req: IncomingMessage, res: ServerResponse, outcome: Exclude<ProxyOutcome, Answered>): void {
		switch (outcome.kind) {
			case 'not_run': {
				this.#end(req, res, {status: 503, headers: ['Retry-After', (outcome.retryAfterMs / 1000).toFixed(2)]});
				break;
			}

			case 'unknown': {
				this.#end(req, res, {status: outcome.reason === 'timeout' ? 504 : 502, headers: []});
				break;
			}

			case 'invalid': {
				this.#end(req, res, {status: statusOf(outcome.reason), headers: []});
				break;
			}
		}
	}

	#end(req: IncomingMessage, res: ServerResponse, {status, headers, body}: PlainAnswer): void {
		this.#prepare(req, res);
		const length = body === undefined && rawHeader(headers, 'content-length') !== undefined ? [] : ['Content-Length', String(body?.byteLength ?? 0)];
		res.writeHead(status, status === 204 || status === 304 ? [...headers] : [...headers, ...length]);
		res.end(body);
	}

	#prepare(req: IncomingMessage, res: ServerResponse): void {
		res.sendDate = false;
		if (this.#phase !== 'serving' || !req.complete) {
			res.shouldKeepAlive = false;
		}
	}
}

/** Bytes of a request's head as it was sent, without the blank line. */
function headBytes(req: IncomingMessage): number {
	let size = req.method!.length + req.url!.length + 12;
	for (const text of req.rawHeaders) {
		size += text.length + 2;
	}

	return size;
}

async function * restOf(chunks: readonly Uint8Array[], source: AsyncIterator<Uint8Array, unknown>, maxBytes: number): AsyncIterable<Uint8Array> {
	let size = 0;
	for (const chunk of chunks) {
		size += chunk.byteLength;
		yield chunk;
	}

	for (let next = await source.next(); next.done !== true; next = await source.next()) {
		size += next.value.byteLength;
		if (size > maxBytes) {
			throw new Error(`the body is longer than ${maxBytes} bytes`);
		}

		yield next.value;
	}
}

/** Adds the length that the instance stated, where it stated one. */
function withLength(headers: readonly string[], stated: readonly string[]): string[] {
	const length = rawHeader(stated, 'content-length');
	return length === undefined ? [...headers] : [...headers, 'Content-Length', length];
}

function statusOf(reason: Extract<ProxyOutcome, {kind: 'invalid'}>['reason']): number {
	switch (reason) {
		case 'no_route': {
			return 404;
		}

		case 'no_request_id':
		case 'broken_off': {
			return 400;
		}

		case 'body_too_large': {
			return 413;
		}
	}
}

async function drained(res: ServerResponse): Promise<void> {
	return new Promise((resolve, reject) => {
		const settle = () => {
			res.off('drain', settle);
			res.off('close', settle);
			if (res.destroyed) {
				reject(new Error('the client left'));
			} else {
				resolve();
			}
		};

		res.on('drain', settle);
		res.on('close', settle);
	});
}

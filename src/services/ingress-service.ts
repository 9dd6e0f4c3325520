import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {endToEndHeaders} from '../adapters/end-to-end-headers.js';
import {rawHeader} from '../adapters/raw-header.js';
import {type Clock} from '../contracts/clock.js';
import {type HttpDialect} from '../contracts/http-dialect.js';
import {type RouteTable} from '../contracts/route-table.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {disconnectSignal} from './disconnect-signal.js';
import {listenAt} from './listen-at.js';
import {type Logger} from './logger.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyRequest} from './proxy-request.js';
import {type ProxyService} from './proxy-service.js';

type IngressOptions = {
	/** IPv4 address and port. */
	readonly address: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly dialect: HttpDialect;
	readonly proxy: ProxyService;
};

type Limits = RouteTable['limits'];
type PlainResponse = {readonly status: number; readonly headers: readonly string[]; readonly body?: Uint8Array};
type AnswerOutcome = Extract<ProxyOutcome, {kind: 'answer'}>;

/** Limit of a request head in the HTTP parser; the limit of the configuration is lower. */
const maxParserHeaderBytes = 65_536;
/** Interval of the checks for connections whose request head is overdue. */
const connectionCheckMs = 1000;
/** Limit of connections that wait to be accepted. */
const maxWaitingConnections = 1024;
/** Limits until the first configuration arrives. */
const initialLimits: Limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
};
const droppedResponseHeaders = new Set(['content-length']);

/**
 * Serves published routes to clients over HTTP/1.1. The parser refuses a request with two lengths or a malformed head before
 * any part of it is forwarded.
 */
export class IngressService {
	readonly #options: IngressOptions;
	readonly #server: Server;
	#limits = initialLimits;
	#phase: 'serving' | 'closing' | 'refusing' = 'serving';

	constructor(options: IngressOptions) {
		this.#options = options;
		this.#server = createServer({
			maxHeaderSize: maxParserHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: connectionCheckMs, noDelay: true,
		}, (req, res) => {
			void this.#serve(req, res);
		});
		this.setLimits(initialLimits);
	}

	/** Starts listening. */
	async start(lifecycle: Lifecycle): Promise<void> {
		await listenAt(this.#server, this.#options.address, maxWaitingConnections);
		lifecycle.addCleanup('ingress', () => {
			this.#server.close();
			this.#server.closeAllConnections();
		});
	}

	setLimits(limits: Limits): void {
		this.#limits = limits;
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** Closes each connection after its next response, which announces this to the client. */
	closeAfterNextResponse(): void {
		this.#phase = 'closing';
	}

	/** Refuses new requests, because too little time is left to serve them, and closes idle connections. */
	refuseRequests(): void {
		this.#phase = 'refusing';
		this.#server.closeIdleConnections();
	}

	async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, dialect, proxy, logger} = this.#options;
		const arrivedMs = clock.nowMs();
		const disconnect = disconnectSignal(req, res);
		try {
			if (this.#phase === 'refusing') {
				this.#sendErrorStatus(req, res, {kind: 'not_run', reason: 'stopping', retryAfterMs: 0});
				return;
			}

			if (headBytes(req) > this.#limits.maxHeaderBytes) {
				this.#sendResponse(req, res, {status: 431, headers: []});
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
				disconnect,
			});
			if (outcome.kind === 'answer') {
				await this.#sendInstanceResponse(req, res, outcome);
			} else {
				this.#sendErrorStatus(req, res, outcome);
			}
		} catch (err) {
			logger.error('handling a request failed; the client receives status 502 or a closed connection', {err: err instanceof Error ? err.stack ?? err.message : String(err)});
			if (res.headersSent) {
				res.destroy();
			} else {
				this.#sendResponse(req, res, {status: 502, headers: []});
			}
		}
	}

	async #readBody(req: IncomingMessage, maxBufferedBytes: number): ReturnType<ProxyRequest['readBody']> {
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
			while (size <= maxBufferedBytes) {
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

		return {kind: 'stream', source: streamBody(chunks, source, maxBodyBytes)};
	}

	async #sendInstanceResponse(req: IncomingMessage, res: ServerResponse, {result}: AnswerOutcome): Promise<void> {
		const headers = endToEndHeaders(result.headers, droppedResponseHeaders);
		const hasNoBody = req.method === 'HEAD' || result.status === 204 || result.status === 304;
		if (result.framing === 'connection' && !hasNoBody) {
			// Such a response may be truncated, so it is forwarded without a length, and its end is marked by closing the connection.
			res.useChunkedEncodingByDefault = false;
			res.shouldKeepAlive = false;
		}

		if (result.kind === 'whole' && result.framing === 'connection' && !hasNoBody) {
			this.#prepareResponse(req, res);
			res.writeHead(result.status, headers);
			res.end(result.body);
			return;
		}

		if (result.kind === 'whole') {
			const response = hasNoBody ? {headers: withContentLength(headers, result.headers)} : {headers, body: result.body};
			this.#sendResponse(req, res, {status: result.status, ...response});
			return;
		}

		this.#prepareResponse(req, res);
		res.writeHead(result.status, withContentLength(headers, result.headers));
		res.write(result.start);
		try {
			for await (const chunk of result.rest) {
				if (!res.write(chunk)) {
					await waitForDrain(res);
				}
			}

			res.end();
		} catch (err) {
			this.#options.logger.warn('forwarding the response of an instance failed after its start was sent; client connection closed', {request: req.headers['x-request-id'], err: String(err)});
			res.destroy();
		}
	}

	#sendErrorStatus(req: IncomingMessage, res: ServerResponse, outcome: Exclude<ProxyOutcome, AnswerOutcome>): void {
		switch (outcome.kind) {
			case 'not_run': {
				this.#sendResponse(req, res, {status: 503, headers: ['Retry-After', (outcome.retryAfterMs / 1000).toFixed(2)]});
				break;
			}

			case 'unknown': {
				this.#sendResponse(req, res, {status: outcome.reason === 'timeout' ? 504 : 502, headers: []});
				break;
			}

			case 'invalid': {
				this.#sendResponse(req, res, {status: statusOfInvalid(outcome.reason), headers: []});
				break;
			}
		}
	}

	#sendResponse(req: IncomingMessage, res: ServerResponse, {status, headers, body}: PlainResponse): void {
		this.#prepareResponse(req, res);
		const length = body === undefined && rawHeader(headers, 'content-length') !== undefined ? [] : ['Content-Length', String(body?.byteLength ?? 0)];
		res.writeHead(status, status === 204 || status === 304 ? [...headers] : [...headers, ...length]);
		res.end(body);
	}

	#prepareResponse(req: IncomingMessage, res: ServerResponse): void {
		res.sendDate = false;
		if (this.#phase !== 'serving' || !req.complete) {
			res.shouldKeepAlive = false;
		}
	}
}

/** Returns the size of a request's head in bytes as it was sent, without the blank line. */
function headBytes(req: IncomingMessage): number {
	let size = req.method!.length + req.url!.length + 12;
	for (const text of req.rawHeaders) {
		size += text.length + 2;
	}

	return size;
}

async function * streamBody(chunks: readonly Uint8Array[], source: AsyncIterator<Uint8Array, unknown>, maxBytes: number): AsyncIterable<Uint8Array> {
	let size = 0;
	for (const chunk of chunks) {
		size += chunk.byteLength;
		yield chunk;
	}

	for (let next = await source.next(); next.done !== true; next = await source.next()) {
		size += next.value.byteLength;
		if (size > maxBytes) {
			throw new Error(`request body exceeds the limit of ${maxBytes} bytes`);
		}

		yield next.value;
	}
}

/** Adds the `Content-Length` header of the instance's response, if it has one. */
function withContentLength(headers: readonly string[], instanceHeaders: readonly string[]): string[] {
	const length = rawHeader(instanceHeaders, 'content-length');
	return length === undefined ? [...headers] : [...headers, 'Content-Length', length];
}

function statusOfInvalid(reason: Extract<ProxyOutcome, {kind: 'invalid'}>['reason']): number {
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

async function waitForDrain(res: ServerResponse): Promise<void> {
	return new Promise((resolve, reject) => {
		const settle = () => {
			res.off('drain', settle);
			res.off('close', settle);
			if (res.destroyed) {
				reject(new Error('the client closed the connection'));
			} else {
				resolve();
			}
		};

		res.on('drain', settle);
		res.on('close', settle);
	});
}

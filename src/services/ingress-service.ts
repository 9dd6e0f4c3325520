import {
	createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {endToEndHeaders} from '../adapters/end-to-end-headers.js';
import {rawHeader} from '../adapters/raw-header.js';
import {BrokenOffError} from '../contracts/broken-off-error.js';
import {type Clock} from '../contracts/clock.js';
import {type HttpDialect} from '../contracts/http-dialect.js';
import {type RouteTable} from '../contracts/route-table.js';
import {RequestPipeline} from '../decisions/request-pipeline.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {disconnectSignal} from './disconnect-signal.js';
import {listenAt} from './listen-at.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyService} from './proxy-service.js';
import {readRequestBody} from './read-request-body.js';
import {statusOfParseError} from './status-of-parse-error.js';

type IngressOptions = {
	/** IPv4 address and port. */
	readonly address: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<Metrics, 'count'>;
	readonly dialect: HttpDialect;
	readonly proxy: ProxyService;
};

type Limits = RouteTable['limits'];
type ServedRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly pipeline: RequestPipeline;
	readonly exchange: NonNullable<ReturnType<RequestPipeline['add']>>;
};
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
	readonly #pipelines = new Map<Duplex, RequestPipeline>();
	#limits = initialLimits;
	#phase: 'serving' | 'closing' | 'refusing' | 'closed' = 'serving';

	constructor(options: IngressOptions) {
		this.#options = options;
		this.#server = createServer({
			maxHeaderSize: maxParserHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: connectionCheckMs, noDelay: true,
		}, (req, res) => {
			this.#receive(req, res);
		});
		this.#server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
			this.#handleClientError(err, socket);
		});
		this.setLimits(initialLimits);
	}

	/** Starts listening. */
	async start(lifecycle: Lifecycle): Promise<void> {
		await listenAt(this.#server, this.#options.address, maxWaitingConnections);
		lifecycle.addCleanup('ingress', () => {
			this.#phase = 'closed';
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
		for (const pipeline of this.#pipelines.values()) {
			pipeline.stop();
		}
	}

	/** Refuses new requests, because too little time is left to serve them, and closes idle connections. */
	refuseRequests(): void {
		this.#phase = 'refusing';
		this.#server.closeIdleConnections();
	}

	#receive(req: IncomingMessage, res: ServerResponse): void {
		const {socket} = req;
		const pipeline = this.#pipelineOf(socket);
		const exchange = pipeline.add();
		if (exchange === undefined) {
			return;
		}

		res.once('close', () => {
			pipeline.end(exchange);
			if (pipeline.isAbandoned) {
				socket.destroySoon();
			}
		});
		void this.#serve({
			req, res, pipeline, exchange,
		});
	}

	#pipelineOf(socket: Socket): RequestPipeline {
		let pipeline = this.#pipelines.get(socket);
		if (pipeline === undefined) {
			const created = new RequestPipeline();
			if (this.#phase !== 'serving') {
				created.stop();
			}

			this.#pipelines.set(socket, created);
			socket.once('close', () => {
				created.abandon();
				this.#pipelines.delete(socket);
			});
			pipeline = created;
		}

		return pipeline;
	}

	/** Answers bytes that are no request, unless responses to requests before them are outstanding: it would be taken for the first of these. */
	#handleClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
		const pipeline = this.#pipelines.get(socket);
		if (socket.writable && pipeline !== undefined && pipeline.size > 0) {
			pipeline.stopReading();
			return;
		}

		if (socket.writable) {
			const status = statusOfParseError(err.code);
			socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		}

		socket.destroy();
	}

	async #serve(served: ServedRequest): Promise<void> {
		const {req, res, pipeline, exchange} = served;
		const {clock, dialect, proxy, logger} = this.#options;
		const arrivedMs = clock.nowMs();
		const disconnect = disconnectSignal(req, res);
		try {
			if (this.#phase === 'refusing') {
				this.#sendErrorStatus(served, {kind: 'not_run', reason: 'stopping', retryAfterMs: 0});
				return;
			}

			if (headBytes(req) > this.#limits.maxHeaderBytes) {
				this.#sendResponse(served, {status: 431, headers: []});
				return;
			}

			const outcome = await proxy.handle({
				...dialect.readRequest(req.headers),
				method: req.method!,
				host: req.headers.host ?? '',
				target: req.url!,
				headers: req.rawHeaders,
				arrivedMs,
				readBody: async maxBytes => readRequestBody(req, maxBytes, this.#limits.maxBodyBytes),
				waitForTurn: async maxAhead => pipeline.turn(exchange, maxAhead),
				disconnect,
			});
			if (pipeline.isLeftOut(exchange)) {
				return;
			}

			if (outcome.kind === 'answer') {
				res.once('close', () => {
					if (res.writableEnded && !res.writableFinished) {
						this.#recordBrokenOff(served, outcome, 'cancelled', 'the connection closed before the response was written');
					}
				});
				await this.#sendInstanceResponse(served, outcome);
			} else {
				this.#sendErrorStatus(served, outcome);
			}
		} catch (err) {
			logger.error('handling a request failed; the client receives status 502 or a closed connection', {err: err instanceof Error ? err.stack ?? err.message : String(err)});
			if (res.headersSent) {
				res.destroy();
			} else {
				this.#sendResponse(served, {status: 502, headers: []});
			}
		}
	}

	async #sendInstanceResponse(served: ServedRequest, outcome: AnswerOutcome): Promise<void> {
		const {result} = outcome;
		const {req, res, pipeline} = served;
		const headers = endToEndHeaders(result.headers, droppedResponseHeaders);
		const hasNoBody = req.method === 'HEAD' || result.status === 204 || result.status === 304;
		if (result.framing === 'connection' && !hasNoBody) {
			// Such a response may be truncated, so it is forwarded without a length, and its end is marked by closing the connection.
			res.useChunkedEncodingByDefault = false;
			res.shouldKeepAlive = false;
			pipeline.stop();
		}

		if (result.kind === 'whole' && result.framing === 'connection' && !hasNoBody) {
			this.#prepareResponse(served);
			res.writeHead(result.status, headers);
			res.end(result.body);
			return;
		}

		if (result.kind === 'whole') {
			const response = hasNoBody ? {headers: withContentLength(headers, result.headers)} : {headers, body: result.body};
			this.#sendResponse(served, {status: result.status, ...response});
			return;
		}

		this.#prepareResponse(served);
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
			this.#breakOff(served, outcome, err);
		}
	}

	/** Ends the connection of a client whose response cannot be completed. */
	#breakOff(served: ServedRequest, outcome: AnswerOutcome, err: unknown): void {
		this.#recordBrokenOff(served, outcome, err instanceof BrokenOffError ? err.reason : 'failed', String(err));
		served.res.destroy();
	}

	#recordBrokenOff({req}: ServedRequest, {result, instanceId}: AnswerOutcome, cause: BrokenOffError['reason'] | 'failed', detail: string): void {
		const {logger, metrics, dialect} = this.#options;
		const reason = this.#phase === 'closed' ? 'stopped' : cause;
		metrics.count('responses_broken_off', {reason, framing: result.framing});
		logger.limited('a response was broken off after its start was sent', {
			request: dialect.readRequest(req.headers).requestId,
			instance: instanceId,
			reason,
			detail,
			framing: result.framing,
			clientVersion: req.httpVersion,
			writtenBytes: req.socket.bytesWritten,
		}, 'warn');
	}

	#sendErrorStatus(served: ServedRequest, outcome: Exclude<ProxyOutcome, AnswerOutcome>): void {
		switch (outcome.kind) {
			case 'not_run': {
				this.#sendResponse(served, {status: 503, headers: ['Retry-After', (outcome.retryAfterMs / 1000).toFixed(2)]});
				break;
			}

			case 'unknown': {
				this.#sendResponse(served, {status: outcome.reason === 'timeout' ? 504 : 502, headers: []});
				break;
			}

			case 'invalid': {
				this.#sendResponse(served, {status: statusOfInvalid(outcome.reason), headers: []});
				break;
			}
		}
	}

	#sendResponse(served: ServedRequest, {status, headers, body}: PlainResponse): void {
		const {res} = served;
		this.#prepareResponse(served);
		const length = body === undefined && rawHeader(headers, 'content-length') !== undefined ? [] : ['Content-Length', String(body?.byteLength ?? 0)];
		res.writeHead(status, status === 204 || status === 304 ? [...headers] : [...headers, ...length]);
		res.end(body);
	}

	#prepareResponse({
		req, res, pipeline, exchange,
	}: ServedRequest): void {
		res.sendDate = false;
		if (!req.complete) {
			pipeline.stop();
		}

		if (pipeline.isLast(exchange)) {
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
				reject(new BrokenOffError('cancelled', 'the client closed the connection'));
			} else {
				resolve();
			}
		};

		res.on('drain', settle);
		res.on('close', settle);
	});
}

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
import {type ByteBudget} from '../decisions/byte-budget.js';
import {endMark} from '../decisions/end-mark.js';
import {RequestPipeline} from '../decisions/request-pipeline.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {boundedObjectKey} from './bounded-object-key.js';
import {collectResponseBody} from './collect-response-body.js';
import {disconnectSignal} from './disconnect-signal.js';
import {errorResponse} from './error-response.js';
import {headBytes} from './head-bytes.js';
import {initialLimits} from './initial-limits.js';
import {listenAt} from './listen-at.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyService} from './proxy-service.js';
import {readRequestBody} from './read-request-body.js';
import {statusOfParseError} from './status-of-parse-error.js';
import {type ClientGuard} from './uploads/client-guard.js';
import {type RequestMemory} from './uploads/request-memory.js';
import {waitForDrain} from './wait-for-drain.js';
import {withContentLength} from './with-content-length.js';

type IngressOptions = {
	/** IPv4 address and port. */
	readonly address: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<Metrics, 'count'>;
	readonly dialect: HttpDialect;
	readonly proxy: ProxyService;
	readonly guard: ClientGuard;
	/** Memory of the responses that are held until they are whole, for clients that cannot be told otherwise where they end. */
	readonly heldBytes: ByteBudget;
};

type Limits = RouteTable['limits'];
type ServedRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly memory: RequestMemory;
	readonly pipeline: RequestPipeline;
	readonly exchange: NonNullable<ReturnType<RequestPipeline['add']>>;
};
type PlainResponse = {readonly status: number; readonly headers: readonly string[]; readonly body?: Uint8Array};
type AnswerOutcome = Extract<ProxyOutcome, {kind: 'answer'}>;
type PartialResult = Extract<AnswerOutcome['result'], {kind: 'partial'}>;

/** Limit of a request head in the HTTP parser; the limit of the configuration is lower. */
const maxParserHeaderBytes = 65_536;
/** Interval of the checks for connections whose request head is overdue. */
const connectionCheckMs = 1000;
/** Limit of connections that wait to be accepted. */
const maxWaitingConnections = 1024;
/** Memory that is held for a request while an instance may respond to it: what the HTTP client reads at once. */
const inFlightBytes = 32_768;
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
	#unanswered = 0;
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
		options.guard.protect(this.#server);
		this.setLimits(initialLimits);
	}

	/** Number of open connections on which a client has sent a request. */
	get connections(): number {
		return this.#pipelines.size;
	}

	/** Number of requests whose responses are not complete, or not yet passed to the system. */
	get unanswered(): number {
		return this.#unanswered;
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
		this.#options.guard.setIdleBodyMs(limits.idleTimeoutMs);
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

	/** Refuses new connections and requests. Connections that wait to be accepted are closed by the system, before anything is read from them. */
	stopListening(): void {
		this.refuseRequests();
		this.#server.close();
	}

	#receive(req: IncomingMessage, res: ServerResponse): void {
		const {socket} = req;
		const pipeline = this.#pipelineOf(socket);
		const exchange = pipeline.add();
		if (exchange === undefined) {
			return;
		}

		const memory = this.#options.guard.memoryOf(req);
		this.#unanswered++;
		res.once('close', () => {
			this.#unanswered--;
			memory.release();
			pipeline.end(exchange);
			if (pipeline.isAbandoned) {
				socket.destroySoon();
			}
		});
		void this.#serve({
			req, res, memory, pipeline, exchange,
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
		const {req, res, memory, pipeline, exchange} = served;
		const {clock, dialect, proxy, logger} = this.#options;
		const arrivedMs = clock.nowMs();
		const disconnect = disconnectSignal(req, res);
		try {
			if (this.#phase === 'refusing') {
				this.#sendResponse(served, errorResponse({kind: 'not_run', reason: 'stopping', retryAfterMs: 0}, dialect));
				return;
			}

			if (headBytes(req) > this.#limits.maxHeaderBytes) {
				this.#sendResponse(served, {status: 431, headers: []});
				return;
			}

			const info = dialect.readRequest(req.headers);
			const outcome = await proxy.handle({
				...info,
				objectKey: boundedObjectKey(info.objectKey),
				method: req.method!,
				host: req.headers.host ?? '',
				target: req.url!,
				headers: req.rawHeaders,
				arrivedMs,
				readBody: async options => (await memory.admit(inFlightBytes)
					? readRequestBody(req, {...options, maxBodyBytes: this.#limits.maxBodyBytes, memory})
					: {kind: 'no_memory'}),
				waitForTurn: async maxAhead => pipeline.turn(exchange, maxAhead, () => memory.isFull),
				tryHold: bytes => memory.tryHold(bytes),
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
				this.#sendResponse(served, errorResponse(outcome, dialect));
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
		const {req} = served;
		const {result} = outcome;
		const headers = endToEndHeaders(result.headers, droppedResponseHeaders);
		if (req.method === 'HEAD' || result.status === 204 || result.status === 304) {
			this.#sendResponse(served, {status: result.status, headers: withContentLength(headers, result.headers)});
			return;
		}

		if (result.kind === 'whole') {
			this.#sendResponse(served, {status: result.status, headers, body: result.body});
			return;
		}

		switch (endMark({framing: result.framing, clientVersion: req.httpVersion})) {
			case 'length': {
				await this.#stream(served, outcome, result, withContentLength(headers, result.headers));
				break;
			}

			case 'chunks': {
				await this.#stream(served, outcome, result, headers);
				break;
			}

			case 'length_once_whole': {
				await this.#sendOnceWhole(served, outcome, result, headers);
				break;
			}
		}
	}

	/** Forwards a response while it arrives. */
	async #stream(served: ServedRequest, outcome: AnswerOutcome, {status, start, rest}: PartialResult, headers: string[]): Promise<void> {
		const {res} = served;
		this.#prepareResponse(served);
		res.writeHead(status, headers);
		res.write(start);
		try {
			for await (const chunk of rest) {
				if (!res.write(chunk)) {
					await waitForDrain(res);
				}
			}

			res.end();
		} catch (err) {
			this.#recordBrokenOff(served, outcome, err instanceof BrokenOffError ? err.reason : 'failed', String(err));
			res.destroy();
		}
	}

	/** Forwards a response with its length when it is whole, or a failure in its place. */
	async #sendOnceWhole(served: ServedRequest, outcome: AnswerOutcome, {status, start, rest}: PartialResult, headers: readonly string[]): Promise<void> {
		const reservation = this.#options.heldBytes.reserve();
		served.res.once('close', reservation.release);
		served.req.socket.once('close', reservation.release);
		const body = await collectResponseBody(start, rest, bytes => {
			const isReserved = reservation.grow(bytes);
			served.memory.hold(isReserved ? bytes : 0);
			return isReserved;
		});
		if (body.success) {
			this.#sendResponse(served, {status, headers, body: body.data});
			return;
		}

		this.#recordBrokenOff(served, outcome, body.error.reason, body.error.message);
		this.#sendResponse(served, {status: body.error.reason === 'overdue' ? 504 : 502, headers: []});
	}

	/** Logs and counts a response whose client cannot get all of it. */
	#recordBrokenOff({req}: ServedRequest, {result, instanceId}: AnswerOutcome, cause: BrokenOffError['reason'] | 'failed' | 'too_large', detail: string): void {
		const {logger, metrics, dialect} = this.#options;
		const reason = this.#phase === 'closed' ? 'stopped' : cause;
		metrics.count('responses_broken_off', {reason, framing: result.framing});
		logger.limited('a response that an instance began was not delivered whole', {
			request: dialect.readRequest(req.headers).requestId,
			instance: instanceId,
			reason,
			detail,
			framing: result.framing,
			clientVersion: req.httpVersion,
			writtenBytes: req.socket.bytesWritten,
		}, 'warn');
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

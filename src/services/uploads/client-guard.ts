import {
	type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {type Clock} from '../../contracts/clock.js';
import {type ClientBudget} from '../../decisions/client-budget.js';
import {type CollectionPolicy} from '../../decisions/collection-policy.js';
import {type Lifecycle} from '../../kernel/lifecycle.js';
import {collectGarbage} from '../collect-garbage.js';
import {type Logger} from '../logger.js';
import {type Metrics} from '../metrics.js';
import {ClientConnection} from './client-connection.js';
import {RequestMemory} from './request-memory.js';

type GuardOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'limited'>;
	readonly metrics: Pick<Metrics, 'count' | 'gauge'>;
	readonly budget: ClientBudget<ClientConnection>;
	readonly collection: CollectionPolicy;
	/** Returns the id of a request, for the log. */
	readonly requestIdOf: (headers: IncomingHttpHeaders) => string | undefined;
	/** Number of requests of one connection without a complete response from which no more are read. */
	readonly maxRequestsAhead: number;
	/** Longest wait of a request for memory before it is refused, in milliseconds. */
	readonly memoryWaitMs: number;
};

type CloseReason = 'memory' | 'connections' | 'idle_body';
type Waiter = {readonly conn: ClientConnection; readonly untilMs: number; readonly resolve: (isAdmitted: boolean) => void};
type ConnectionListener = (this: Server, conn: ClientConnection) => void;

/** Interval of the checks for bodies that do not arrive and for requests that wait for memory. */
const checkMs = 250;
/** Memory of a request and its response without their bytes: objects, listeners and promises. */
const requestObjectBytes = 6144;
/** Bytes that a request's head needs in memory for each byte as sent, since it is kept as text in two forms. */
const headMemoryFactor = 2;
const bytesPerMb = 1_048_576;

/** Keeps what clients make this host hold within a budget, at all ports for clients. */
export class ClientGuard {
	readonly #options: GuardOptions;
	readonly #connections = new Set<ClientConnection>();
	readonly #waitingReaders = new Set<ClientConnection>();
	readonly #waiters = new Set<Waiter>();
	#idleBodyMs = Number.POSITIVE_INFINITY;
	#isWakeUpDue = false;

	constructor(options: GuardOptions) {
		this.#options = options;
	}

	start(lifecycle: Pick<Lifecycle, 'every'>): void {
		const {metrics, budget} = this.#options;
		metrics.gauge('client_connections', () => budget.connections);
		metrics.gauge('client_held_bytes', () => budget.heldBytes);
		lifecycle.every('clients', checkMs, () => {
			budget.adaptTo(this.#limitMemory());
			this.#closeOverflow();
			this.#closeIdleBodies();
			this.#wakeUp();
		});
	}

	/** Sets the time without a byte after which a connection is closed whose request body has not ended, in milliseconds. */
	setIdleBodyMs(idleBodyMs: number): void {
		this.#idleBodyMs = idleBodyMs;
	}

	/** Reads the connections of a server within the budget; to be called before it listens, and after its own listeners were added. */
	protect(server: Server): void {
		const listeners = server.listeners('connection') as ConnectionListener[];
		server.removeAllListeners('connection');
		server.on('connection', (socket: Socket) => {
			const conn = this.#open(socket);
			for (const listener of listeners) {
				listener.call(server, conn);
			}
		});
		server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
			this.#addRequest(req, res);
		});
	}

	/** Returns the memory of a request that was read from a protected server. */
	memoryOf(req: IncomingMessage): RequestMemory {
		const conn = req.socket as unknown as ClientConnection;
		return new RequestMemory({
			isFull: () => this.#options.budget.isFull(conn),
			mayHold: () => this.#options.budget.mayHold(conn),
			change: bytes => {
				this.#change(conn, bytes);
			},
			admit: async () => this.#admit(conn, req),
			onBodyRead: () => {
				this.#scheduleWakeUp();
			},
		});
	}

	#open(socket: Socket): ClientConnection {
		const {clock, budget} = this.#options;
		const conn = new ClientConnection({
			socket,
			mayRead: item => this.#mayRead(item),
			onHeld: (item, bytes) => {
				this.#change(item, bytes);
			},
			onWaiting: item => {
				this.#waitingReaders.add(item);
			},
			onActive(item) {
				item.lastActiveMs = clock.nowMs();
			},
		});
		conn.lastActiveMs = clock.nowMs();
		this.#connections.add(conn);
		budget.open(conn);
		conn.once('close', () => {
			this.#connections.delete(conn);
			this.#waitingReaders.delete(conn);
			budget.close(conn);
			this.#scheduleWakeUp();
		});
		const surplus = budget.surplus();
		if (surplus !== undefined) {
			this.#close(surplus, 'connections');
		}

		return conn;
	}

	#mayRead(conn: ClientConnection): boolean {
		const {cutter, chunkedBody, hasUntoldHead, unanswered} = conn;
		const isChunkUnread = cutter.isInChunks && chunkedBody?.destroyed === false && chunkedBody.readableLength > 0;
		// The responses to requests that the parser refused wait behind the others and are not counted.
		const hasUncounted = hasUntoldHead && unanswered.size > 0;
		return !isChunkUnread && !hasUncounted && unanswered.size < this.#options.maxRequestsAhead && this.#options.budget.mayHold(conn);
	}

	#addRequest(req: IncomingMessage, res: ServerResponse): void {
		const conn = req.socket as unknown as ClientConnection;
		let headBytes = requestObjectBytes;
		for (const text of req.rawHeaders) {
			headBytes += text.length * headMemoryFactor;
		}

		conn.hasUntoldHead = false;
		conn.unanswered.add(req);
		this.#change(conn, headBytes);
		this.#beginBody(conn, req);
		res.once('close', () => {
			conn.unanswered.delete(req);
			conn.lastActiveMs = this.#options.clock.nowMs();
			this.#change(conn, -headBytes);
		});
	}

	#beginBody(conn: ClientConnection, req: IncomingMessage): void {
		const {cutter} = conn;
		const length = req.headers['content-length'];
		if (req.headers['transfer-encoding'] !== undefined) {
			cutter.beginBody({kind: 'chunks'});
			conn.chunkedBody = req;
			req.once('end', () => {
				cutter.endBody();
				conn.chunkedBody = undefined;
			});
		} else if (length !== undefined) {
			cutter.beginBody({kind: 'length', bytes: Number(length)});
		}
	}

	#change(conn: ClientConnection, bytes: number): void {
		const {budget} = this.#options;
		budget.change(conn, bytes);
		if (bytes < 0) {
			this.#scheduleWakeUp();
			return;
		}

		this.#closeOverflow();
	}

	#closeOverflow(): void {
		for (const holder of this.#options.budget.overflow()) {
			this.#close(holder, 'memory');
		}
	}

	/** Waits until memory is free for another request; resolves with `false` if there is none in time. */
	async #admit(conn: ClientConnection, req: IncomingMessage): Promise<boolean> {
		const {budget, clock, memoryWaitMs, metrics, logger, requestIdOf} = this.#options;
		if (budget.mayHold(conn) || budget.isFull(conn)) {
			return true;
		}

		const isAdmitted = await new Promise<boolean>(resolve => {
			this.#waiters.add({conn, untilMs: clock.nowMs() + memoryWaitMs, resolve});
		});
		if (!isAdmitted) {
			metrics.count('clients_refused', {reason: 'memory'});
			logger.limited('a request was refused because this host holds too much for its clients', {
				request: requestIdOf(req.headers), heldBytes: conn.heldBytes, allHeldBytes: budget.heldBytes, connections: budget.connections, waitedMs: memoryWaitMs,
			}, 'warn');
		}

		return isAdmitted;
	}

	#scheduleWakeUp(): void {
		if (!this.#isWakeUpDue && (this.#waiters.size > 0 || this.#waitingReaders.size > 0)) {
			this.#isWakeUpDue = true;
			setImmediate(() => {
				this.#isWakeUpDue = false;
				this.#wakeUp();
			});
		}
	}

	/** Continues what waited for memory, in the order of its arrival. */
	#wakeUp(): void {
		const {budget, clock} = this.#options;
		const nowMs = clock.nowMs();
		for (const waiter of this.#waiters) {
			const isAdmitted = budget.mayHold(waiter.conn);
			if (isAdmitted || waiter.conn.destroyed || nowMs >= waiter.untilMs) {
				this.#waiters.delete(waiter);
				waiter.resolve(isAdmitted);
			}
		}

		const waiting = [...this.#waitingReaders];
		this.#waitingReaders.clear();
		for (const conn of waiting) {
			conn.readOn();
		}
	}

	/** Collects garbage if the process is near the memory of its host; returns the resident memory in bytes. */
	#limitMemory(): number {
		const {collection, clock, metrics, logger} = this.#options;
		const usedBytes = process.memoryUsage.rss();
		const startMs = clock.nowMs();
		if (!collection.isDue(usedBytes, startMs)) {
			return usedBytes;
		}

		collectGarbage();
		const nowMs = clock.nowMs();
		const leftBytes = process.memoryUsage.rss();
		collection.recordCollection(usedBytes - leftBytes, nowMs);
		metrics.count('garbage_collections');
		logger.limited('garbage was collected because this process is near the memory of its host', {
			residentMb: Math.round(usedBytes / bytesPerMb), freedMb: Math.round((usedBytes - leftBytes) / bytesPerMb), tookMs: Math.round(nowMs - startMs),
		}, 'warn');
		return leftBytes;
	}

	#closeIdleBodies(): void {
		const oldestMs = this.#options.clock.nowMs() - this.#idleBodyMs;
		for (const conn of this.#connections) {
			if (conn.cutter.isInBody && conn.lastActiveMs < oldestMs && !this.#waitingReaders.has(conn) && conn.isReading) {
				this.#close(conn, 'idle_body');
			}
		}
	}

	/** Closes the connection of a client; its requests that were not started will not run. */
	#close(conn: ClientConnection, reason: CloseReason): void {
		const {metrics, logger, budget, requestIdOf} = this.#options;
		metrics.count('clients_closed', {reason});
		const fields = {
			reason, unanswered: conn.unanswered.size, heldBytes: conn.heldBytes, allHeldBytes: budget.heldBytes, connections: budget.connections, client: conn.remoteAddress,
		};
		const ids = [...conn.unanswered].map(req => requestIdOf(req.headers));
		for (const request of ids.length === 0 ? [undefined] : ids) {
			logger.limited('the connection of a client was closed to protect this host', {request, ...fields}, 'warn');
		}

		budget.close(conn);
		conn.destroy();
	}
}

import {buildConnector, Client} from 'undici';
import {type Clock} from '../contracts/clock.js';
import {limitBytesWithoutProgress} from './limit-bytes-without-progress.js';
import {watchForFailure} from './watch-for-failure.js';

/** A connection, which carries one exchange at a time. */
type Connection = {
	readonly client: Client;
	/** Time at which the last response was received, in monotonic milliseconds; `undefined` before the first. */
	lastReceivedMs: number | undefined;
	/** Whether the present exchange began after the connection had been idle for longer than the usual limit. */
	wasLongIdle: boolean;
	/** Returns whether the exchange that opens the connection may still begin once it is open; it always may unless this is given. */
	mayBegin: (() => boolean) | undefined;
	/** Whether the connection failed; a response that is delimited by the end of the connection may then be truncated. */
	hasFailed: boolean;
	/** Records that what was received until now belongs to the response. */
	markProgress: () => void;
};

type PoolOptions = {
	/** IPv4 address and port. */
	readonly address: string;
	readonly clock: Clock;
	/** Idle time after which a connection is not reused. */
	readonly idleLimitMs: number;
	/** Idle time after which a connection is not reused for exchanges that may be repeated; `idleLimitMs` unless it is given. */
	readonly longIdleLimitMs?: number;
	/** Timeout for opening a connection. */
	readonly connectTimeoutMs: number;
	/** Upper limit of the wait for a response's headers, and for each part of its body. */
	readonly exchangeLimitMs: number;
	/** Limit of connections open at the same time. */
	readonly maxConnections: number;
	/** Returns whether another connection may be opened, considering those to other addresses. */
	readonly mayOpen?: () => boolean;
};

/**
 * Number of bytes after which a connection is closed if they were no part of a response, such as a status line or a chunk extension without
 * end. It exceeds what is received ahead while nobody reads.
 */
const maxBytesWithoutProgress = 1_048_576;
/**
 * Time for which connections to an address are reused within the usual idle limit only, after one that had been idle for longer was lost or
 * gave no response in time: the peer forgets its idle connections, or they went silent.
 */
const longIdlePauseMs = 60_000;

/**
 * Connections to one address. Each exchange uses a new connection or one that received a response within the idle limit. The HTTP client
 * closes an idle connection two seconds before the end of the idle timeout that the peer states in its `Keep-Alive` header.
 * After an exchange has timed out, `closeIdleSince` closes the idle connections that have received no response since its start,
 * because the same failure probably affects them.
 */
export class ConnectionPool {
	readonly #options: PoolOptions;
	readonly #connect: ReturnType<typeof buildConnector>;
	readonly #idle: Connection[] = [];
	readonly #busy = new Set<Connection>();
	#longIdleFromMs = Number.NEGATIVE_INFINITY;

	constructor(options: PoolOptions) {
		this.#options = options;
		this.#connect = buildConnector({timeout: options.connectTimeoutMs});
	}

	/** Number of open connections. */
	get size(): number {
		return this.#idle.length + this.#busy.size;
	}

	/** Whether the pool has no connections and no state of its own. */
	get isUnused(): boolean {
		return this.size === 0 && this.#options.clock.nowMs() >= this.#longIdleFromMs;
	}

	/**
	 * Returns a connection for one exchange, or `undefined` if the limit of connections is reached. `allowsLongIdle` is for exchanges that may be
	 * repeated. If the connection has to be opened and `mayBegin` then returns false, the exchange fails before anything of it is written.
	 */
	acquire(allowsLongIdle = false, mayBegin?: () => boolean): Connection | undefined {
		this.closeExpired();
		const isLongIdle = this.#isLongIdle(this.#idle.at(-1));
		if (isLongIdle && !allowsLongIdle && this.size >= this.#options.maxConnections) {
			this.closeLongIdle();
		}

		const conn = (isLongIdle && !allowsLongIdle ? undefined : this.#idle.pop()) ?? this.#open();
		if (conn !== undefined) {
			conn.wasLongIdle = isLongIdle && allowsLongIdle;
			conn.mayBegin = mayBegin;
			conn.markProgress();
			this.#busy.add(conn);
		}

		return conn;
	}

	/** Returns a connection to the pool after an exchange with a complete response. */
	release(conn: Connection): void {
		this.#busy.delete(conn);
		conn.lastReceivedMs = this.#options.clock.nowMs();
		this.#idle.push(conn);
	}

	/** Closes a connection instead of reusing it, for instance after its exchange failed or was cancelled. */
	discard(conn: Connection): void {
		this.#busy.delete(conn);
		destroyIgnoringErrors(conn.client);
	}

	/** Closes the idle connections that have received no response since `sinceMs`, in monotonic milliseconds. */
	closeIdleSince(sinceMs: number): void {
		this.#closeWhere(conn => (conn.lastReceivedMs ?? 0) <= sinceMs);
	}

	/** Closes the connections that failed or have been idle for longer than the limit. Only the one that was used last is kept until the limit for long idleness. */
	closeExpired(): void {
		const {clock, idleLimitMs, longIdleLimitMs = idleLimitMs} = this.#options;
		const nowMs = clock.nowMs();
		const newest = nowMs < this.#longIdleFromMs ? undefined : this.#idle.at(-1);
		this.#closeWhere(conn => conn.hasFailed || nowMs - (conn.lastReceivedMs ?? 0) > (conn === newest ? longIdleLimitMs : idleLimitMs));
	}

	/** Closes the connections that have been idle for longer than the usual limit. */
	closeLongIdle(): void {
		this.#closeWhere(conn => this.#isLongIdle(conn));
	}

	/** Closes the connections that have been idle for longer than the usual limit and keeps none so long for some time. */
	suspendLongIdle(): void {
		this.#longIdleFromMs = this.#options.clock.nowMs() + longIdlePauseMs;
		this.closeLongIdle();
	}

	/** Closes the connection that has been idle for the longest time; returns whether there was one. */
	closeOldestIdle(): boolean {
		const conn = this.#idle.shift();
		if (conn !== undefined) {
			destroyIgnoringErrors(conn.client);
		}

		return conn !== undefined;
	}

	/** Closes all connections, including those with an exchange. */
	close(): void {
		this.#closeWhere(() => true);
		for (const conn of this.#busy) {
			this.discard(conn);
		}
	}

	#isLongIdle(conn: Connection | undefined): boolean {
		return conn !== undefined && this.#options.clock.nowMs() - (conn.lastReceivedMs ?? 0) > this.#options.idleLimitMs;
	}

	#closeWhere(shouldClose: (conn: Connection) => boolean): void {
		for (const conn of this.#idle.splice(0)) {
			if (shouldClose(conn)) {
				destroyIgnoringErrors(conn.client);
			} else {
				this.#idle.push(conn);
			}
		}
	}

	#open(): Connection | undefined {
		if (this.size >= this.#options.maxConnections || this.#options.mayOpen?.() === false) {
			return undefined;
		}

		const client = new Client(`http://${this.#options.address}`, {
			pipelining: 1,
			keepAliveTimeout: 600_000,
			keepAliveMaxTimeout: 600_000,
			headersTimeout: this.#options.exchangeLimitMs,
			bodyTimeout: this.#options.exchangeLimitMs,
			connect: (options, callback) => {
				this.#connect(options, (...result) => {
					const [err, socket] = result;
					if (err === null && conn.mayBegin?.() === false) {
						socket.destroy();
						callback(new Error('the exchange may no longer begin'), null);
						return;
					}

					if (err === null) {
						// The client opens a connection anew if the peer closed the one before in an orderly way while it was idle.
						conn.lastReceivedMs = undefined;
						conn.wasLongIdle = false;
						watchForFailure(socket, () => {
							conn.hasFailed = true;
						});
						conn.markProgress = limitBytesWithoutProgress(socket, maxBytesWithoutProgress);
					}

					callback(...result);
				});
			},
		});
		const conn: Connection = {
			client, lastReceivedMs: undefined, wasLongIdle: false, mayBegin: undefined, hasFailed: false, markProgress: () => undefined,
		};
		return conn;
	}
}

function destroyIgnoringErrors(client: Client): void {
	void client.destroy().catch(() => undefined);
}

import {buildConnector, Client} from 'undici';
import {type Clock} from '../contracts/clock.js';

/** One connection; it carries one exchange at a time. */
type Connection = {
	readonly client: Client;
	/** Moment at which the far end was last heard from, in monotonic milliseconds; `undefined` while it is new. */
	lastHeardMs: number | undefined;
	/** Whether the connection broke: an answer that would end with the connection is not whole then. */
	isBroken: boolean;
};

type PoolOptions = {
	/** IPv4 number and port. */
	readonly address: string;
	readonly clock: Clock;
	/** A connection that has been silent for longer is not used again, in milliseconds. */
	readonly idleLimitMs: number;
	/** Time for opening a connection, in milliseconds. */
	readonly connectTimeoutMs: number;
	/** Longest life of an exchange, in milliseconds. */
	readonly exchangeLimitMs: number;
	/** Connections open at once. */
	readonly maxConnections: number;
};

/**
 * Connections to one address. Every exchange starts on a connection that was heard from lately or is new;
 * when one turns out to be silent, the idle ones that share its fate are closed with it.
 */
export class ConnectionPool {
	readonly #options: PoolOptions;
	readonly #connect: ReturnType<typeof buildConnector>;
	readonly #idle: Connection[] = [];
	readonly #busy = new Set<Connection>();

	constructor(options: PoolOptions) {
		this.#options = options;
		this.#connect = buildConnector({timeout: options.connectTimeoutMs});
	}

	/** Connections open now. */
	get size(): number {
		return this.#idle.length + this.#busy.size;
	}

	/** Takes a connection for one exchange, or `undefined` when the budget is spent. */
	acquire(): Connection | undefined {
		this.closeIdle();
		const conn = this.#idle.pop() ?? this.#open();
		if (conn !== undefined) {
			this.#busy.add(conn);
		}

		return conn;
	}

	/** Gives a connection back after an exchange that ended whole. */
	release(conn: Connection): void {
		this.#busy.delete(conn);
		conn.lastHeardMs = this.#options.clock.nowMs();
		this.#idle.push(conn);
	}

	/** Closes a connection whose exchange was cancelled or failed; it is never used again. */
	discard(conn: Connection): void {
		this.#busy.delete(conn);
		destroyQuietly(conn.client);
	}

	/** Closes the idle connections that were last heard from before `sinceMs`. */
	condemn(sinceMs: number): void {
		this.#closeWhere(conn => (conn.lastHeardMs ?? 0) <= sinceMs);
	}

	/** Closes the idle connections that have been silent for longer than the limit. */
	closeIdle(): void {
		const oldest = this.#options.clock.nowMs() - this.#options.idleLimitMs;
		this.#closeWhere(conn => (conn.lastHeardMs ?? 0) < oldest);
	}

	/** Closes everything. */
	close(): void {
		this.#closeWhere(() => true);
		for (const conn of this.#busy) {
			this.discard(conn);
		}
	}

	#closeWhere(isClosing: (conn: Connection) => boolean): void {
		for (const conn of this.#idle.splice(0)) {
			if (isClosing(conn)) {
				destroyQuietly(conn.client);
			} else {
				this.#idle.push(conn);
			}
		}
	}

	#open(): Connection | undefined {
		if (this.size >= this.#options.maxConnections) {
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
					result[1]?.on('error', err => {
						// Errors of system calls only: the client ends sockets in order with errors of its own.
						conn.isBroken ||= 'syscall' in err;
					});
					callback(...result);
				});
			},
		});
		const conn: Connection = {client, lastHeardMs: undefined, isBroken: false};
		return conn;
	}
}

function destroyQuietly(client: Client): void {
	void client.destroy().catch(() => undefined);
}

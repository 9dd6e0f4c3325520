import {type Clock} from '../contracts/clock.js';
import {ConnectionPool} from './connection-pool.js';

type PoolSetOptions = {
	readonly clock: Clock;
	/** Idle time after which a connection is not reused. */
	readonly idleLimitMs: number;
	/** Idle time after which a connection is not reused for exchanges that may be repeated; `idleLimitMs` unless it is given. */
	readonly longIdleLimitMs?: number;
	readonly connectTimeoutMs: number;
	readonly exchangeLimitMs: number;
	readonly maxConnections: number;
	/** Limit of connections to all addresses together; unlimited by default. */
	readonly maxTotalConnections?: number;
};

/** Connection pools by address. */
export class PoolSet {
	readonly #pools = new Map<string, ConnectionPool>();
	readonly #options: PoolSetOptions;

	constructor(options: PoolSetOptions) {
		this.#options = options;
	}

	/** Number of open connections to all addresses. */
	get size(): number {
		let total = 0;
		for (const pool of this.#pools.values()) {
			total += pool.size;
		}

		return total;
	}

	/** Returns the pool of an address; creates it if there is none. */
	get(address: string): ConnectionPool {
		let pool = this.#pools.get(address);
		if (pool === undefined) {
			pool = new ConnectionPool({...this.#options, address, mayOpen: () => this.#mayOpen()});
			this.#pools.set(address, pool);
		}

		return pool;
	}

	/** Closes the connections that have been idle for too long, and removes unused pools. */
	sweep(): void {
		for (const [address, pool] of this.#pools) {
			pool.closeExpired();
			if (pool.isUnused) {
				this.#pools.delete(address);
			}
		}
	}

	/** Closes the connections to all addresses that have been idle for longer than the usual limit. */
	closeLongIdle(): void {
		for (const pool of this.#pools.values()) {
			pool.closeLongIdle();
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}

	/** Returns whether another connection may be opened; closes an idle one to another address if that makes room. */
	#mayOpen(): boolean {
		const {maxTotalConnections = Number.POSITIVE_INFINITY} = this.#options;
		if (maxTotalConnections === Number.POSITIVE_INFINITY || this.size < maxTotalConnections) {
			return true;
		}

		for (const pool of this.#pools.values()) {
			if (pool.closeOldestIdle()) {
				return true;
			}
		}

		return false;
	}
}

import {type Clock} from '../contracts/clock.js';
import {ConnectionPool} from './connection-pool.js';

type PoolSetOptions = {
	readonly clock: Clock;
	/** Silence after which a connection is not used again, in milliseconds. */
	readonly idleLimitMs: number;
	readonly connectTimeoutMs: number;
	readonly exchangeLimitMs: number;
	readonly maxConnections: number;
};

/** Connection pools by address. */
export class PoolSet {
	readonly #pools = new Map<string, ConnectionPool>();
	readonly #options: PoolSetOptions;

	constructor(options: PoolSetOptions) {
		this.#options = options;
	}

	/** Connections open to all addresses. */
	get size(): number {
		let total = 0;
		for (const pool of this.#pools.values()) {
			total += pool.size;
		}

		return total;
	}

	/** The pool of an address. */
	get(address: string): ConnectionPool {
		let pool = this.#pools.get(address);
		if (pool === undefined) {
			pool = new ConnectionPool({...this.#options, address});
			this.#pools.set(address, pool);
		}

		return pool;
	}

	/** Closes idle connections and forgets the pools that have none left. */
	sweep(): void {
		for (const [address, pool] of this.#pools) {
			pool.closeIdle();
			if (pool.size === 0) {
				this.#pools.delete(address);
			}
		}
	}

	/** Closes everything. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}
}

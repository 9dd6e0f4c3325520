/** What the host holds for one connection of a client. */
type Holder = {
	/** Bytes that are held for the connection; the connection itself is bounded by their number. */
	heldBytes: number;
	/** Monotonic time of the latest request or response on the connection. */
	lastActiveMs: number;
};

type ClientBudgetOptions = {
	/** Limit of the bytes that are held for all clients. */
	readonly totalBytes: number;
	/** Part of `totalBytes` that only connections with at most `smallBytes` may use, so that ordinary requests are served beside large ones. */
	readonly reservedBytes: number;
	readonly smallBytes: number;
	/** Bytes held for one connection from which nothing more is read from it. */
	readonly connectionBytes: number;
	/** Memory at which the platform ends the process. */
	readonly processLimitBytes: number;
	/** Limit of open connections. */
	readonly maxConnections: number;
};

/** Free share of the process's memory from which the whole budget may be used, and the share of the budget that always may. */
const ampleFreeShare = 0.25;
const minUsableShare = 0.25;
/** Share of the reserved bytes that is free again after connections were closed for lack of memory, so that they are not closed one for each request. */
const freedReservedShare = 0.5;

/**
 * Bytes that a host holds for its clients. Reading from a connection pauses when it or all connections together hold too much; only if that
 * does not suffice, the connections that hold most are closed. Designed for some 10,000 connections: the holders are searched only when some have
 * to be closed.
 */
export class ClientBudget<T extends Holder> {
	readonly #options: ClientBudgetOptions;
	readonly #holders = new Set<T>();
	#heldBytes = 0;
	/** Share of the budget that may be used now. */
	#usableShare = 1;

	constructor(options: ClientBudgetOptions) {
		this.#options = options;
	}

	/** Bytes held for all clients. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Number of open connections. */
	get connections(): number {
		return this.#holders.size;
	}

	/** Adapts the budget to the memory that the process uses: what is held is only an estimate of it. */
	adaptTo(usedBytes: number): void {
		const freeShare = 1 - (usedBytes / this.#options.processLimitBytes);
		this.#usableShare = Math.max(minUsableShare, Math.min(1, freeShare / ampleFreeShare));
	}

	/** Adds a connection. */
	open(holder: T): void {
		this.#holders.add(holder);
	}

	/** Removes a connection and all that is held for it. */
	close(holder: T): void {
		if (this.#holders.delete(holder)) {
			this.#heldBytes -= holder.heldBytes;
			holder.heldBytes = 0;
		}
	}

	/** Records that more bytes are held for a connection, or fewer; ignored after it was removed. */
	change(holder: T, bytes: number): void {
		if (this.#holders.has(holder)) {
			holder.heldBytes += bytes;
			this.#heldBytes += bytes;
		}
	}

	/** Whether more may be read from a connection, or be kept of its responses, than what is held already. */
	mayHold(holder: T): boolean {
		return !this.isFull(holder) && this.#heldBytes < this.#limitOf(holder);
	}

	/** Whether a connection holds all that one connection may. */
	isFull({heldBytes}: T): boolean {
		return heldBytes >= this.#options.connectionBytes;
	}

	/** Returns the connections to close for lack of memory, those that hold most first, and of equal ones the longest inactive first. */
	overflow(): T[] {
		const totalBytes = this.#options.totalBytes * this.#usableShare;
		const reservedBytes = this.#options.reservedBytes * this.#usableShare;
		if (this.#heldBytes < totalBytes) {
			return [];
		}

		const chosen: T[] = [];
		let excessBytes = this.#heldBytes - (totalBytes - (freedReservedShare * reservedBytes));
		for (const holder of [...this.#holders].sort((a, b) => b.heldBytes - a.heldBytes || a.lastActiveMs - b.lastActiveMs)) {
			if (excessBytes <= 0) {
				break;
			}

			chosen.push(holder);
			excessBytes -= holder.heldBytes;
		}

		return chosen;
	}

	/** Returns the connection to close for one too many: the longest inactive of those that hold nothing, or else the one that holds most. */
	surplus(): T | undefined {
		const {maxConnections} = this.#options;
		if (this.#holders.size <= maxConnections) {
			return undefined;
		}

		let idle: T | undefined;
		let largest: T | undefined;
		for (const holder of this.#holders) {
			if (holder.heldBytes === 0 && (idle === undefined || holder.lastActiveMs < idle.lastActiveMs)) {
				idle = holder;
			}

			if (largest === undefined || holder.heldBytes > largest.heldBytes) {
				largest = holder;
			}
		}

		return idle ?? largest;
	}

	#limitOf({heldBytes}: T): number {
		const {totalBytes, reservedBytes, smallBytes} = this.#options;
		return this.#usableShare * (heldBytes <= smallBytes ? totalBytes : totalBytes - reservedBytes);
	}
}

type QueuedRequest = {
	readonly id: string;
	/** Caller that sent the request. */
	readonly caller: string;
};

/** Queue of one class's requests. Serves callers round-robin, so that many requests of one caller do not delay those of another. */
export class CallerQueue<T extends QueuedRequest> {
	readonly #byCaller = new Map<string, Map<string, T>>();
	readonly #returned: T[] = [];
	#size = 0;

	get size(): number {
		return this.#size;
	}

	add(item: T): void {
		let own = this.#byCaller.get(item.caller);
		if (own === undefined) {
			own = new Map();
			this.#byCaller.set(item.caller, own);
		}

		own.set(item.id, item);
		this.#size++;
	}

	/** Puts a request that was taken and did not run back at the front of the queue. */
	addFirst(item: T): void {
		this.#returned.push(item);
		this.#size++;
	}

	/** Returns the number of queued requests that would be served before a new request of this caller. */
	countAhead(caller: string): number {
		const own = this.#byCaller.get(caller)?.size ?? 0;
		let total = this.#returned.length;
		for (const items of this.#byCaller.values()) {
			total += Math.min(items.size, own + 1);
		}

		return own === 0 ? total : total - 1;
	}

	/** Removes and returns the next request. */
	take(): T | undefined {
		const first = this.#returned.pop();
		if (first !== undefined) {
			this.#size--;
			return first;
		}

		const [next] = this.#byCaller;
		if (next === undefined) {
			return undefined;
		}

		const [caller, items] = next;
		const [item] = items.values();
		items.delete(item!.id);
		this.#size--;
		this.#byCaller.delete(caller);
		if (items.size > 0) {
			this.#byCaller.set(caller, items);
		}

		return item;
	}

	/** Returns the next request without removing it. */
	peek(): T | undefined {
		const [next] = this.#byCaller.values();
		const [item] = next?.values() ?? [];
		return this.#returned.at(-1) ?? item;
	}

	/** Removes one request from any position; returns whether it was queued. */
	remove(id: string, caller: string): boolean {
		const own = this.#byCaller.get(caller);
		if (own?.delete(id) === true) {
			if (own.size === 0) {
				this.#byCaller.delete(caller);
			}

			this.#size--;
			return true;
		}

		const index = this.#returned.findIndex(item => item.id === id);
		if (index === -1) {
			return false;
		}

		this.#returned.splice(index, 1);
		this.#size--;
		return true;
	}

	/** Removes and returns the requests for which `isRemoved` returns true. */
	removeWhere(isRemoved: (item: T) => boolean): T[] {
		const removed: T[] = [];
		for (const items of this.#byCaller.values()) {
			for (const item of items.values()) {
				if (isRemoved(item)) {
					this.remove(item.id, item.caller);
					removed.push(item);
				}
			}
		}

		for (const item of this.#returned) {
			if (isRemoved(item)) {
				this.remove(item.id, item.caller);
				removed.push(item);
			}
		}

		return removed;
	}
}

type Queued = {
	readonly id: string;
	/** Whose request it is; callers take turns. */
	readonly caller: string;
};

/** Requests of one class. Callers take turns, so that one caller's many requests do not delay another's. */
export class CallerQueue<T extends Queued> {
	readonly #byCaller = new Map<string, Map<string, T>>();
	readonly #front: T[] = [];
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

	/** Puts back a request that had its turn and did not run. */
	addFirst(item: T): void {
		this.#front.push(item);
		this.#size++;
	}

	/** Requests that come before a new one of this caller. */
	ahead(caller: string): number {
		const own = this.#byCaller.get(caller)?.size ?? 0;
		let total = this.#front.length;
		for (const items of this.#byCaller.values()) {
			total += Math.min(items.size, own + 1);
		}

		return own === 0 ? total : total - 1;
	}

	/** Removes the next request in turn. */
	take(): T | undefined {
		const first = this.#front.pop();
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

	/** The next request in turn. */
	peek(): T | undefined {
		const [next] = this.#byCaller.values();
		const [item] = next?.values() ?? [];
		return this.#front.at(-1) ?? item;
	}

	/** Removes one request wherever it waits. */
	remove(id: string, caller: string): boolean {
		const own = this.#byCaller.get(caller);
		if (own?.delete(id) === true) {
			if (own.size === 0) {
				this.#byCaller.delete(caller);
			}

			this.#size--;
			return true;
		}

		const index = this.#front.findIndex(item => item.id === id);
		if (index === -1) {
			return false;
		}

		this.#front.splice(index, 1);
		this.#size--;
		return true;
	}

	/** Removes the requests that fail a test. */
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

		for (const item of this.#front) {
			if (isRemoved(item)) {
				this.remove(item.id, item.caller);
				removed.push(item);
			}
		}

		return removed;
	}
}

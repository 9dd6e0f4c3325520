/** News waiting to be passed on, with the number of times each was sent. */
export class UpdateQueue<T> {
	readonly #items = new Map<string, {item: T; sent: number}>();

	/** News that still has to be passed on. */
	get size(): number {
		return this.#items.size;
	}

	/** Adds news; it replaces older news of the same key. */
	add(key: string, item: T): void {
		this.#items.set(key, {item, sent: 0});
	}

	/** Takes up to `count` items, the least often sent first; each is passed on `limit` times in all. */
	take(count: number, limit: number): T[] {
		const chosen = [...this.#items].toSorted((a, b) => a[1].sent - b[1].sent).slice(0, count);
		for (const [key, entry] of chosen) {
			entry.sent++;
			if (entry.sent >= limit) {
				this.#items.delete(key);
			}
		}

		return chosen.map(([, entry]) => entry.item);
	}
}

/** Queue of updates to send to peers, with the number of times each was sent. */
export class UpdateQueue<T> {
	readonly #items = new Map<string, {item: T; timesSent: number}>();

	/** Number of updates that remain to be sent. */
	get size(): number {
		return this.#items.size;
	}

	/** Adds an update; it replaces an earlier update of the same key. */
	add(key: string, item: T): void {
		this.#items.set(key, {item, timesSent: 0});
	}

	/** Removes the update of a key, if there is one. */
	remove(key: string): void {
		this.#items.delete(key);
	}

	/** Returns up to `count` updates to send, the least often sent first. Each update is removed after it was returned `sendLimit` times. */
	take(count: number, sendLimit: number): T[] {
		const chosen = [...this.#items].toSorted((a, b) => a[1].timesSent - b[1].timesSent).slice(0, count);
		for (const [key, entry] of chosen) {
			entry.timesSent++;
			if (entry.timesSent >= sendLimit) {
				this.#items.delete(key);
			}
		}

		return chosen.map(([, entry]) => entry.item);
	}
}

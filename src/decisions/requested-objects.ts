type RequestedObject = {readonly isAssigned: boolean; count: number};

/**
 * Requests for objects since the latest report. Clients choose the objects' keys, so that only the most requested ones are kept, and of equally
 * requested ones those with an assignment. Designed for some thousands of requests between two reports.
 */
export class RequestedObjects<T> {
	readonly #maxObjects: number;
	readonly #entries = new Map<string, RequestedObject & {readonly value: T}>();

	constructor(maxObjects: number) {
		this.#maxObjects = maxObjects;
	}

	/** Whether there are objects without an assignment. */
	get hasUnassigned(): boolean {
		return [...this.#entries.values()].some(entry => !entry.isAssigned);
	}

	/** Records a request for an object. */
	add(id: string, value: T, isAssigned: boolean): void {
		const entry = this.#entries.get(id);
		if (entry !== undefined) {
			entry.count++;
			return;
		}

		// Pruning only at twice the limit keeps its cost per request constant.
		if (this.#entries.size >= this.#maxObjects * 2) {
			this.#prune();
		}

		this.#entries.set(id, {value, isAssigned, count: 1});
	}

	/** Removes and returns the objects with their numbers of requests. */
	take(): Array<readonly [value: T, count: number]> {
		this.#prune();
		const objects = [...this.#entries.values()].map(({value, count}) => [value, count] as const);
		this.#entries.clear();
		return objects;
	}

	#prune(): void {
		if (this.#entries.size > this.#maxObjects) {
			const ranked = [...this.#entries].sort(([, a], [, b]) => b.count - a.count || Number(b.isAssigned) - Number(a.isAssigned));
			for (const [id] of ranked.slice(this.#maxObjects)) {
				this.#entries.delete(id);
			}
		}
	}
}

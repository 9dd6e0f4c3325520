import {setImmediate} from 'node:timers/promises';

type Entry = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** Events in virtual time, run in order. After each event all promises that it settles are continued before time advances. */
export class VirtualTime {
	#nowMs = 0;
	#order = 0;
	/** Binary heap by time, then by the order in which the events were added. */
	readonly #heap: Entry[] = [];

	nowMs(): number {
		return this.#nowMs;
	}

	/** Runs an event after a delay in milliseconds. */
	after(delayMs: number, run: () => void): void {
		this.#order++;
		this.#push({atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order, run});
	}

	/** Runs an event at a fixed interval in milliseconds, first after `offsetMs`. */
	repeat(intervalMs: number, run: () => void, offsetMs = intervalMs): void {
		this.after(offsetMs, () => {
			run();
			this.repeat(intervalMs, run);
		});
	}

	/** Resolves after a delay in virtual milliseconds. */
	async sleep(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.after(delayMs, resolve);
		});
	}

	/** Runs all events up to a time in milliseconds. */
	async runUntil(endMs: number): Promise<void> {
		while (this.#heap[0] !== undefined && this.#heap[0].atMs <= endMs) {
			const entry = this.#pop();
			this.#nowMs = entry.atMs;
			entry.run();
			await setImmediate();
		}

		this.#nowMs = endMs;
	}

	#push(entry: Entry): void {
		let index = this.#heap.push(entry) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (isBefore(this.#heap[parent]!, entry)) {
				break;
			}

			this.#heap[index] = this.#heap[parent]!;
			index = parent;
		}

		this.#heap[index] = entry;
	}

	#pop(): Entry {
		const first = this.#heap[0]!;
		const last = this.#heap.pop()!;
		let index = 0;
		while (this.#heap.length > 0) {
			const left = (2 * index) + 1;
			const right = left + 1;
			const child = this.#heap[right] !== undefined && isBefore(this.#heap[right], this.#heap[left]!) ? right : left;
			if (this.#heap[child] === undefined || isBefore(last, this.#heap[child])) {
				break;
			}

			this.#heap[index] = this.#heap[child];
			index = child;
		}

		if (this.#heap.length > 0) {
			this.#heap[index] = last;
		}

		return first;
	}
}

function isBefore(a: Entry, b: Entry): boolean {
	return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

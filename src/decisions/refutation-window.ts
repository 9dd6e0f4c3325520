/**
 * Withholds suspicions and deaths of members after one of them has proved wrong: probably this process was cut off from those members, together
 * with others or alone. The members are asked, and what they do not refute in time spreads as usual. Each conclusion is withheld only once.
 */
export class RefutationWindow {
	readonly #durationMs: number;
	readonly #withheld = new Set<string>();
	/** Members that were asked about the present conclusion. */
	readonly #asked = new Set<string>();
	#endMs = 0;

	/** `durationMs` is the time that the members have to refute a conclusion, in milliseconds. */
	constructor(durationMs: number) {
		this.#durationMs = durationMs;
	}

	/** Withholds the conclusions about those of these members that were not asked yet, and returns them. */
	open(keys: readonly string[], nowMs: number): readonly string[] {
		const added = keys.filter(key => !this.#asked.has(key));
		if (added.length > 0) {
			this.#endMs = nowMs + this.#durationMs;
		}

		for (const key of added) {
			this.#asked.add(key);
			this.#withheld.add(key);
		}

		return added;
	}

	isWithheld(key: string): boolean {
		return this.#withheld.has(key);
	}

	/** Forgets a member whose entry has changed or was evicted. */
	clear(key: string): void {
		this.#withheld.delete(key);
		this.#asked.delete(key);
	}

	/** Returns the members about which the conclusions were not refuted in time; they are withheld no longer. */
	release(nowMs: number): readonly string[] {
		if (this.#withheld.size === 0 || nowMs < this.#endMs) {
			return [];
		}

		const keys = [...this.#withheld];
		this.#withheld.clear();
		return keys;
	}
}

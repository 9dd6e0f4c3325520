type ClassInfo = {
	readonly name: string;
	/** 1 is the most urgent. */
	readonly priority: number;
	/** Share of the starts that the class is guaranteed while it has queued requests. */
	readonly floor: number;
};

/** Number of starts that a class may accumulate. */
const maxOwedStarts = 2;

/**
 * Chooses the class whose request starts next: the most urgent class with queued requests, unless a class is owed a
 * start under its floor. Each start adds the floor of every waiting class to the starts that the class is owed.
 */
export class ClassScheduler {
	readonly #classes: readonly ClassInfo[];
	readonly #owedStarts = new Map<string, number>();

	constructor(classes: readonly ClassInfo[]) {
		this.#classes = classes.toSorted((a, b) => a.priority - b.priority);
	}

	/** Returns the class to start next, or `undefined` if no class has queued requests. */
	next(hasQueued: (name: string) => boolean): string | undefined {
		const waiting = this.#classes.filter(item => hasQueued(item.name));
		const owed = waiting.filter(item => this.#owedStartsOf(item.name) >= 1);
		return owed.at(-1)?.name ?? waiting[0]?.name;
	}

	/** Records that a request of a class started. */
	recordStart(name: string, hasQueued: (name: string) => boolean): void {
		for (const item of this.#classes) {
			if (item.name === name) {
				const owedStarts = this.#owedStartsOf(name) + item.floor - 1;
				this.#owedStarts.set(name, Math.max(0, Math.min(maxOwedStarts, owedStarts)));
			} else if (hasQueued(item.name)) {
				this.#owedStarts.set(item.name, Math.min(maxOwedStarts, this.#owedStartsOf(item.name) + item.floor));
			} else {
				this.#owedStarts.set(item.name, 0);
			}
		}
	}

	#owedStartsOf(name: string): number {
		return this.#owedStarts.get(name) ?? 0;
	}
}

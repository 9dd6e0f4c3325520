type ClassInfo = {
	readonly name: string;
	/** 1 is the most urgent. */
	readonly priority: number;
	/** Share of the starts that the class keeps while it has work. */
	readonly floor: number;
};

/** Starts that a class may be owed. */
const maxCredit = 2;

/**
 * Chooses the class that starts next: the most urgent one with work, except that a class whose floor
 * is owed a start comes first. Each start gives every waiting class its floor as credit.
 */
export class ClassScheduler {
	readonly #classes: readonly ClassInfo[];
	readonly #credits = new Map<string, number>();

	constructor(classes: readonly ClassInfo[]) {
		this.#classes = classes.toSorted((a, b) => a.priority - b.priority);
	}

	/** The class to start next, or `undefined` when none has work. */
	next(hasWork: (name: string) => boolean): string | undefined {
		const waiting = this.#classes.filter(item => hasWork(item.name));
		const owed = waiting.filter(item => this.#credit(item.name) >= 1);
		return owed.at(-1)?.name ?? waiting[0]?.name;
	}

	/** Counts a start of a class. */
	started(name: string, hasWork: (name: string) => boolean): void {
		for (const item of this.#classes) {
			if (item.name === name) {
				const credit = this.#credit(name) + item.floor - 1;
				this.#credits.set(name, Math.max(0, Math.min(maxCredit, credit)));
			} else if (hasWork(item.name)) {
				this.#credits.set(item.name, Math.min(maxCredit, this.#credit(item.name) + item.floor));
			} else {
				this.#credits.set(item.name, 0);
			}
		}
	}

	#credit(name: string): number {
		return this.#credits.get(name) ?? 0;
	}
}

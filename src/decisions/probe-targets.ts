import {type MemberTable} from './member-table.js';
import {type SeededRandom} from './seeded-random.js';

/** Largest number of suspects that are probed in one period, so that they can refute the suspicion. */
const maxSuspects = 16;

/**
 * Selects the members that the failure detector probes next: first those whose last probe failed, then, on every
 * other call, suspects, and otherwise each member once per round in random order.
 */
export class ProbeTargets {
	readonly #table: MemberTable;
	readonly #random: SeededRandom;
	readonly #failedOnce = new Set<string>();
	#round: string[] = [];
	#isSuspectTurn = false;

	constructor(table: MemberTable, random: SeededRandom) {
		this.#table = table;
		this.#random = random;
	}

	/** Returns the keys of the members to probe in this period: `count` of them, or more if several are suspected; none if no other is known. */
	next(count: number): readonly string[] {
		const keys = new Set(this.#allFailedOnce().slice(0, count));
		if (keys.size < count) {
			for (const key of this.#someSuspects()) {
				keys.add(key);
			}
		}

		let isNewRound = false;
		while (keys.size < count) {
			const key = this.#nextOfRound();
			if (key !== undefined) {
				keys.add(key);
			} else if (isNewRound) {
				break;
			} else {
				this.#startRound();
				isNewRound = true;
			}
		}

		return [...keys];
	}

	/** Records a failed probe; returns whether it is the second consecutive failure of the member. */
	recordFailure(key: string): boolean {
		const isSecond = this.#failedOnce.delete(key);
		if (!isSecond) {
			this.#failedOnce.add(key);
		}

		return isSecond;
	}

	/** Clears the recorded failure of a member that responded or whose status changed. */
	clearFailure(key: string): void {
		this.#failedOnce.delete(key);
	}

	#allFailedOnce(): string[] {
		for (const key of this.#failedOnce) {
			if (this.#table.get(key)?.status !== 'alive') {
				this.#failedOnce.delete(key);
			}
		}

		return [...this.#failedOnce];
	}

	#someSuspects(): string[] {
		this.#isSuspectTurn = !this.#isSuspectTurn;
		const suspects = this.#isSuspectTurn ? [...this.#table.suspectsAndDead].filter(key => this.#table.get(key)?.status === 'suspect') : [];
		return this.#random.sample(suspects, maxSuspects);
	}

	#nextOfRound(): string | undefined {
		for (let key = this.#round.pop(); key !== undefined; key = this.#round.pop()) {
			const status = this.#table.get(key)?.status;
			if (status === 'alive' || status === 'suspect') {
				return key;
			}
		}

		return undefined;
	}

	#startRound(): void {
		const keys = this.#table.keys();
		this.#round = this.#random.sample(keys, keys.length);
	}
}

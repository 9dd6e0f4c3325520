import {type MemberTable} from './member-table.js';
import {type SeededRandom} from './seeded-random.js';

/**
 * Selects the member that the failure detector probes next: first a member whose last probe failed, then, on every
 * other call, a suspect, and otherwise each member once per round in random order.
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

	/** Returns the key of the next member to probe, or `undefined` if there is none. */
	next(): string | undefined {
		return this.#nextFailedOnce() ?? this.#nextSuspect() ?? this.#nextOfRound() ?? this.#nextOfNewRound();
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

	#nextFailedOnce(): string | undefined {
		for (const key of this.#failedOnce) {
			if (this.#table.get(key)?.status === 'alive') {
				return key;
			}

			this.#failedOnce.delete(key);
		}

		return undefined;
	}

	#nextSuspect(): string | undefined {
		this.#isSuspectTurn = !this.#isSuspectTurn;
		const suspects = this.#isSuspectTurn ? [...this.#table.suspectsAndDead].filter(key => this.#table.get(key)?.status === 'suspect') : [];
		return this.#random.sample(suspects, 1)[0];
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

	#nextOfNewRound(): string | undefined {
		const keys = this.#table.keys();
		this.#round = this.#random.sample(keys, keys.length);
		return this.#nextOfRound();
	}
}

import {type MemberTable} from './member-table.js';
import {type SeededRandom} from './seeded-random.js';

/**
 * Chooses whom the failure detector probes next: a member whose last probe failed, every other time a suspect, and
 * else each member once a round in random order.
 */
export class ProbeTargets {
	readonly #table: MemberTable;
	readonly #random: SeededRandom;
	readonly #doubted = new Set<string>();
	#round: string[] = [];
	#isSuspectTurn = false;

	constructor(table: MemberTable, random: SeededRandom) {
		this.#table = table;
		this.#random = random;
	}

	/** Key of the next member, or `undefined` when there is none. */
	next(): string | undefined {
		return this.#nextDoubted() ?? this.#nextSuspect() ?? this.#nextOfRound() ?? this.#nextOfNewRound();
	}

	/** Takes in a failed probe; answers whether it is the second in a row. */
	failed(key: string): boolean {
		const isSecond = this.#doubted.delete(key);
		if (!isSecond) {
			this.#doubted.add(key);
		}

		return isSecond;
	}

	/** Takes in that a member answered, or that its status changed. */
	settle(key: string): void {
		this.#doubted.delete(key);
	}

	#nextDoubted(): string | undefined {
		for (const key of this.#doubted) {
			if (this.#table.get(key)?.status === 'alive') {
				return key;
			}

			this.#doubted.delete(key);
		}

		return undefined;
	}

	#nextSuspect(): string | undefined {
		this.#isSuspectTurn = !this.#isSuspectTurn;
		const suspects = this.#isSuspectTurn ? [...this.#table.unwell].filter(key => this.#table.get(key)?.status === 'suspect') : [];
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

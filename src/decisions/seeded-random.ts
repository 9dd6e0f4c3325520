import {type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Number of distinct values that `next` can return. */
const resolution = 0x7F_FF_FF_FF;

/** Pseudo-random number generator; equal seeds give equal sequences. */
export class SeededRandom {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	next(): number {
		return unsafeUniformIntDistribution(0, resolution - 1, this.#generator) / resolution;
	}

	/** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
	below(limit: number): number {
		return unsafeUniformIntDistribution(0, limit - 1, this.#generator);
	}

	/** Returns up to `count` items, drawn at random without replacement. */
	sample<T>(items: readonly T[], count: number): T[] {
		const pool = [...items];
		for (let index = 0; index < Math.min(count, pool.length); index++) {
			const other = index + this.below(pool.length - index);
			[pool[index], pool[other]] = [pool[other]!, pool[index]!];
		}

		return pool.slice(0, count);
	}
}

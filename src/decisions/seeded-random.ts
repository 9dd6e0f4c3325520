import {type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const resolution = 0x7F_FF_FF_FF;

/** Seeded generator of random numbers; equal seeds give equal sequences. */
export class SeededRandom {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** A number from 0 up to, and not including, 1. */
	next(): number {
		return unsafeUniformIntDistribution(0, resolution - 1, this.#generator) / resolution;
	}

	/** A whole number from 0 up to, and not including, `limit`. */
	below(limit: number): number {
		return unsafeUniformIntDistribution(0, limit - 1, this.#generator);
	}

	/** Up to `count` different items. */
	sample<T>(items: readonly T[], count: number): T[] {
		const pool = [...items];
		for (let index = 0; index < Math.min(count, pool.length); index++) {
			const other = index + this.below(pool.length - index);
			[pool[index], pool[other]] = [pool[other]!, pool[index]!];
		}

		return pool.slice(0, count);
	}
}

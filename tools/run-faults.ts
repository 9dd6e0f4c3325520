import {setTimeout as delay} from 'node:timers/promises';
import {type SeededRandom} from '../src/decisions/seeded-random.js';

type FaultRun<Name> = {
	readonly random: SeededRandom;
	readonly names: readonly Name[];
	readonly durationMs: number;
	/** Shortest time between the starts of two faults. */
	readonly shortestGapMs: number;
	/** Range of the random time added to `shortestGapMs`. */
	readonly gapRangeMs: number;
	/** Injects one fault and resolves when it has ended. */
	readonly inject: (name: Name) => Promise<void>;
	/** Called after each start of a fault, and when all faults have ended. */
	readonly check: () => Promise<void> | void;
};

/** Injects random faults, which may overlap, for a period and waits until all have ended. */
export async function runFaults<Name>({
	random, names, durationMs, shortestGapMs, gapRangeMs, inject, check,
}: FaultRun<Name>): Promise<void> {
	const active = new Set<Promise<void>>();
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		await delay(shortestGapMs + random.below(gapRangeMs));
		const fault = inject(random.sample(names, 1)[0]!);
		active.add(fault);
		void fault.finally(() => active.delete(fault));
		await check();
	}

	await Promise.all(active);
	await check();
}

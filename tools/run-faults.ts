import {setTimeout as delay} from 'node:timers/promises';
import {type SeededRandom} from '../src/decisions/seeded-random.js';

type FaultRun<Name> = {
	readonly random: SeededRandom;
	readonly names: readonly Name[];
	readonly durationMs: number;
	/** Time between the beginnings of two faults: the shortest, and what may come on top, in milliseconds. */
	readonly shortestGapMs: number;
	readonly gapRangeMs: number;
	/** Brings about one fault; ends when the fault has. */
	readonly inject: (name: Name) => Promise<void>;
	/** Called after each beginning of a fault, and when all have ended. */
	readonly check: () => Promise<void> | void;
};

/** Injects random faults for a time, also over each other, and waits until all have ended. */
export async function runFaults<Name>({
	random, names, durationMs, shortestGapMs, gapRangeMs, inject, check,
}: FaultRun<Name>): Promise<void> {
	const underWay = new Set<Promise<void>>();
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		await delay(shortestGapMs + random.below(gapRangeMs));
		const fault = inject(random.sample(names, 1)[0]!);
		underWay.add(fault);
		void fault.finally(() => underWay.delete(fault));
		await check();
	}

	await Promise.all(underWay);
	await check();
}

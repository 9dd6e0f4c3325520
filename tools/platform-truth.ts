import {type PlatformFleet} from './platform-fleet.js';

/** Promises that were broken, each by the number of requests. */
type BrokenPromises = {
	/** Requests that may run at most once and ran twice. */
	readonly doubleRuns: number;
	/** Requests that were refused as not run, and ran. */
	readonly falseRefusals: number;
};

/** Compares what clients were told with what the instances ran. */
export function platformTruth(fleet: PlatformFleet, refused: readonly string[]): BrokenPromises {
	const runs = new Map<string, number>();
	const single = new Set<string>();
	for (const {requestId, method} of fleet.instances.flatMap(({standIn}) => standIn.ran)) {
		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		if (method === 'POST') {
			single.add(requestId);
		}
	}

	return {
		doubleRuns: [...single].filter(id => runs.get(id)! > 1).length,
		falseRefusals: refused.filter(id => runs.has(id)).length,
	};
}

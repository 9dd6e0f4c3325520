import {type PlatformFleet} from './platform-fleet.js';

/** Violated guarantees, each with its number of requests. */
type Violations = {
	/** Requests that may run at most once and ran more than once. */
	readonly doubleRuns: number;
	/** Requests that were refused as not run although an instance ran them. */
	readonly falseRefusals: number;
};

/** Compares the outcomes that clients received with the requests that the instances ran. */
export function platformViolations(fleet: PlatformFleet, refused: readonly string[]): Violations {
	const runs = new Map<string, number>();
	const atMostOnce = new Set<string>();
	for (const {requestId, method} of fleet.instances.flatMap(({standIn}) => standIn.executedRequests)) {
		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		if (method === 'POST') {
			atMostOnce.add(requestId);
		}
	}

	return {
		doubleRuns: [...atMostOnce].filter(id => runs.get(id)! > 1).length,
		falseRefusals: refused.filter(id => runs.has(id)).length,
	};
}

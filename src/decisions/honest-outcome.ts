import {type Outcome} from '../contracts/outcome.js';

/** The outcome of a request of several tries: a refusal of the last one proves nothing if an earlier one may have run. */
export function honestOutcome(last: Outcome, mayHaveRun: boolean): Outcome {
	return mayHaveRun && last.kind === 'not-run'
		? {kind: 'unknown', reason: 'host_lost', detail: `an earlier try may have run; the last one did not: ${last.detail}`}
		: last;
}

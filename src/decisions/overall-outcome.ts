import {type Outcome} from '../contracts/outcome.js';

/**
 * Returns the outcome of a request that was sent several times. If an earlier attempt may have run, `not-run` for the
 * last attempt does not prove that the request never ran, so the outcome is `unknown`.
 */
export function overallOutcome(last: Outcome, mayHaveRun: boolean): Outcome {
	return mayHaveRun && last.kind === 'not-run'
		? {kind: 'unknown', reason: 'host_lost', detail: `an earlier attempt may have run; the last one did not: ${last.detail}`}
		: last;
}

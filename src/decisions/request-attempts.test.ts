import {describe, expect, it} from 'vitest';
import {RequestAttempts} from './request-attempts.js';

type Result = Parameters<RequestAttempts['recordResult']>[0];
type Attempts = Pick<RequestAttempts, 'recordResult' | 'mayHaveRun'>;
type Options = ConstructorParameters<typeof RequestAttempts>[0];

/** Violated guarantee in one sequence of attempts. */
type Violation = {readonly results: readonly Result[]; readonly runs: number; readonly fault: 'run twice' | 'run but reported as not run' | 'too many arrivals'};

/** Possible results of an attempt with the number of runs at the instance; with an unknown result, the request may or may not have run. */
const results: ReadonlyArray<{readonly result: Result; readonly runs: number}> = [
	{result: 'answered', runs: 1}, {result: 'not_sent', runs: 0}, {result: 'rejected', runs: 0}, {result: 'unknown', runs: 0}, {result: 'unknown', runs: 1},
];
const maxAttemptsExplored = 9;

/** Explores every sequence of results that an implementation allows; returns the violations and the number of sequences. */
function explore(create: (options: Options) => Attempts, options: Options): {readonly violations: readonly Violation[]; readonly sequences: number} {
	const violations: Violation[] = [];
	let sequences = 0;
	const replay = (sequence: ReadonlyArray<typeof results[number]>) => {
		const attempts = create(options);
		let isContinued = true;
		for (const {result} of sequence) {
			isContinued = attempts.recordResult(result);
		}

		return {attempts, isContinued};
	};

	const visit = (sequence: ReadonlyArray<typeof results[number]>): void => {
		const runs = sequence.reduce((sum, item) => sum + item.runs, 0);
		const arrivals = sequence.filter(({result}) => result !== 'not_sent').length;
		const {attempts, isContinued} = replay(sequence);
		const isAnswered = sequence.at(-1)?.result === 'answered';
		const sequenceResults = sequence.map(({result}) => result);
		if (!options.isRepeatable && runs > 1) {
			violations.push({results: sequenceResults, runs, fault: 'run twice'});
		}

		if (!isAnswered && !attempts.mayHaveRun && runs > 0) {
			violations.push({results: sequenceResults, runs, fault: 'run but reported as not run'});
		}

		if (arrivals > options.maxAttempts) {
			violations.push({results: sequenceResults, runs, fault: 'too many arrivals'});
		}

		if (!isContinued || sequence.length === maxAttemptsExplored) {
			sequences++;
			return;
		}

		for (const next of results) {
			visit([...sequence, next]);
		}
	};

	visit([]);
	return {violations, sequences};
}

describe('the use of connections that the peer may have forgotten', () => {
	it('is allowed to the first attempt of a repeatable request only, so that no request is lost without another attempt', () => {
		const attempts = new RequestAttempts({isRepeatable: true, maxAttempts: 3});
		expect(attempts.mayBeLost).toBe(true);
		attempts.recordResult('not_sent');
		expect(attempts.mayBeLost).toBe(true);
		attempts.recordResult('unknown');
		expect(attempts.mayBeLost).toBe(false);
		expect(new RequestAttempts({isRepeatable: false, maxAttempts: 3}).mayBeLost).toBe(false);
		expect(new RequestAttempts({isRepeatable: true, maxAttempts: 1}).mayBeLost).toBe(false);
	});
});

describe('every sequence of attempts', () => {
	const cases = [1, 2, 3, 4].flatMap(maxAttempts => [true, false].map(isRepeatable => ({isRepeatable, maxAttempts})));

	it.each(cases)('runs a request that is not repeatable at most once, reports "not run" truthfully and respects the maximum of attempts: %j', options => {
		const {violations, sequences} = explore(given => new RequestAttempts(given), options);
		expect(violations).toEqual([]);
		expect(sequences).toBeGreaterThanOrEqual(results.length);
	});

	it('detects an implementation that retries after an unknown result', () => {
		const retryingUnknown = (options: Options): Attempts => new RequestAttempts({...options, isRepeatable: true});
		expect(explore(retryingUnknown, {isRepeatable: false, maxAttempts: 2}).violations.map(({fault}) => fault)).toContain('run twice');
	});

	it('detects an implementation that ignores an unknown result', () => {
		const ignoringUnknown = (options: Options): Attempts => {
			const attempts = new RequestAttempts(options);
			return {recordResult: result => attempts.recordResult(result), mayHaveRun: false};
		};

		expect(explore(ignoringUnknown, {isRepeatable: true, maxAttempts: 2}).violations.map(({fault}) => fault)).toContain('run but reported as not run');
	});

	it('detects an implementation that does not limit the attempts', () => {
		const unlimited = (options: Options): Attempts => new RequestAttempts({...options, maxAttempts: 99});
		expect(explore(unlimited, {isRepeatable: true, maxAttempts: 2}).violations.map(({fault}) => fault)).toContain('too many arrivals');
	});
});

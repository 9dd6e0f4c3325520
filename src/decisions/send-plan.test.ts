import {describe, expect, it} from 'vitest';
import {SendPlan} from './send-plan.js';

type End = Parameters<SendPlan['ended']>[0];
type Plan = Pick<SendPlan, 'ended' | 'mayHaveRun'>;
type Options = ConstructorParameters<typeof SendPlan>[0];

/** What went wrong in one history of sends. */
type Finding = {readonly ends: readonly End[]; readonly runs: number; readonly fault: 'run twice' | 'run but called not run' | 'too many arrivals'};

/** How a send can end, and whether the instance ran the request: an unknown end leaves both open. */
const ends: ReadonlyArray<{readonly end: End; readonly runs: number}> = [
	{end: 'answered', runs: 1}, {end: 'not_sent', runs: 0}, {end: 'rejected', runs: 0}, {end: 'unknown', runs: 0}, {end: 'unknown', runs: 1},
];
const longestHistory = 9;

/** Plays every history of ends that a plan lets happen; answers the faults and the number of histories. */
function explore(create: (options: Options) => Plan, options: Options): {readonly findings: readonly Finding[]; readonly histories: number} {
	const findings: Finding[] = [];
	let histories = 0;
	const replay = (history: ReadonlyArray<typeof ends[number]>) => {
		const plan = create(options);
		let goesOn = true;
		for (const {end} of history) {
			goesOn = plan.ended(end);
		}

		return {plan, goesOn};
	};

	const visit = (history: ReadonlyArray<typeof ends[number]>): void => {
		const runs = history.reduce((sum, item) => sum + item.runs, 0);
		const arrivals = history.filter(({end}) => end !== 'not_sent').length;
		const {plan, goesOn} = replay(history);
		const isAnswered = history.at(-1)?.end === 'answered';
		const names = history.map(({end}) => end);
		if (!options.isRepeatable && runs > 1) {
			findings.push({ends: names, runs, fault: 'run twice'});
		}

		if (!isAnswered && !plan.mayHaveRun && runs > 0) {
			findings.push({ends: names, runs, fault: 'run but called not run'});
		}

		if (arrivals > options.maxAttempts) {
			findings.push({ends: names, runs, fault: 'too many arrivals'});
		}

		if (!goesOn || history.length === longestHistory) {
			histories++;
			return;
		}

		for (const next of ends) {
			visit([...history, next]);
		}
	};

	visit([]);
	return {findings, histories};
}

describe('every history of sends', () => {
	const cases = [1, 2, 3, 4].flatMap(maxAttempts => [true, false].map(isRepeatable => ({isRepeatable, maxAttempts})));

	it.each(cases)('keeps at most once, true refusals and the attempts: %j', options => {
		const {findings, histories} = explore(given => new SendPlan(given), options);
		expect(findings).toEqual([]);
		expect(histories).toBeGreaterThanOrEqual(ends.length);
	});

	it('shows a plan that sends again after an unknown end', () => {
		const careless = (options: Options): Plan => new SendPlan({...options, isRepeatable: true});
		expect(explore(careless, {isRepeatable: false, maxAttempts: 2}).findings.map(({fault}) => fault)).toContain('run twice');
	});

	it('shows a plan that forgets an unknown end', () => {
		const forgetful = (options: Options): Plan => {
			const plan = new SendPlan(options);
			return {ended: end => plan.ended(end), mayHaveRun: false};
		};

		expect(explore(forgetful, {isRepeatable: true, maxAttempts: 2}).findings.map(({fault}) => fault)).toContain('run but called not run');
	});

	it('shows a plan that counts no arrivals', () => {
		const endless = (options: Options): Plan => new SendPlan({...options, maxAttempts: 99});
		expect(explore(endless, {isRepeatable: true, maxAttempts: 2}).findings.map(({fault}) => fault)).toContain('too many arrivals');
	});
});

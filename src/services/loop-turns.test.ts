import {setImmediate} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {LoopTurns} from './loop-turns.js';

const sliceMs = 10;

function createTurns() {
	let nowMs = 0;
	let pollCount = 0;
	const ended = new AbortController();
	const countPolls = async () => {
		while (!ended.signal.aborted) {
			await setImmediate();
			pollCount++;
		}
	};

	void countPolls();
	return {
		turns: new LoopTurns({clock: {nowMs: () => nowMs}, sliceMs}),
		/** Lets time pass, as work that blocks the loop does. */
		block(ms: number) {
			nowMs += ms;
		},
		polls: () => pollCount,
		end() {
			ended.abort();
		},
	};
}

describe('LoopTurns', () => {
	it('polls for events between pieces of work that take longer than a slice', async () => {
		const {turns, block, polls, end} = createTurns();
		const pollsAtStart = await Promise.all(Array.from({length: 6}, async () => {
			await turns.next();
			block(sliceMs);
			return polls();
		}));
		end();
		expect(new Set(pollsAtStart).size).toBe(6);
		expect(pollsAtStart).toEqual(pollsAtStart.toSorted((a, b) => a - b));
	});

	it('starts several short pieces of work in one turn', async () => {
		const {turns, block, polls, end} = createTurns();
		const pollsAtStart = await Promise.all(Array.from({length: 6}, async () => {
			await turns.next();
			block(sliceMs / 6);
			return polls();
		}));
		end();
		expect(new Set(pollsAtStart).size).toBe(1);
	});

	it('starts work only after a whole turn', async () => {
		const {turns, polls, end} = createTurns();
		const before = polls();
		await turns.next();
		end();
		expect(polls() - before).toBeGreaterThanOrEqual(1);
	});

	it('goes on after it was idle', async () => {
		const {turns, end} = createTurns();
		await turns.next();
		await setImmediate();
		await expect(turns.next()).resolves.toBeUndefined();
		end();
	});
});

import {describe, expect, it} from 'vitest';
import {guardProcess} from './guard-process.js';

function setUp() {
	const state = {nowMs: 0, lines: 0, ends: 0};
	const listeners = new Map<string, (err: unknown) => void>();
	const emit = (event: string, err: unknown) => {
		listeners.get(event)!(err);
	};

	guardProcess({
		process: {on: (event, listener) => listeners.set(event, listener)},
		clock: {nowMs: () => state.nowMs},
		logger: {
			limited() {
				state.lines++;
			},
		},
		metrics: {count: () => undefined},
		onRecurring() {
			state.ends++;
		},
	});
	return {emit, state};
}

describe('guardProcess', () => {
	it('keeps the process in service after a single error, with a log line', () => {
		const {emit, state} = setUp();
		emit('uncaughtException', new Error('one malformed message'));
		emit('unhandledRejection', 'text');
		expect(state).toMatchObject({lines: 2, ends: 0});
	});

	it('ends the process when errors recur within seconds, not when they are far apart', () => {
		const {emit, state} = setUp();
		for (let index = 0; index < 100; index++) {
			state.nowMs += 1000;
			emit('uncaughtException', new Error('now and then'));
		}

		expect(state.ends).toBe(0);
		for (let index = 0; index < 40; index++) {
			emit('uncaughtException', new Error('again and again'));
		}

		expect(state.ends).toBeGreaterThan(0);
	});
});

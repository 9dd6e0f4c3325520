import {getEventListeners} from 'node:events';
import {describe, expect, it} from 'vitest';
import {pause} from './pause.js';

describe('pause', () => {
	// Guards against a watch of the store that keeps a listener for each change that it has ever returned.
	it('leaves no listener at the signal', async () => {
		const {signal} = new AbortController();
		await pause(1, signal);
		expect(getEventListeners(signal, 'abort')).toEqual([]);
	});

	it('ends when the signal is aborted', async () => {
		const controller = new AbortController();
		const pausing = pause(60_000, controller.signal);
		controller.abort();
		await pausing;
		expect(getEventListeners(controller.signal, 'abort')).toEqual([]);
	});
});

import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {type Clock} from '../contracts/clock.js';

type LoopTurnsOptions = {
	readonly clock: Clock;
	/** Time in one turn of the event loop for which waiting work is started, in milliseconds; at least one piece is. */
	readonly sliceMs: number;
};

type WaitingWork = {readonly dueTurn: number; readonly start: () => void};

/**
 * Spreads work over turns of the event loop. The loop accepts one connection in a turn, and sees the end of a connection in the turn
 * after its last bytes; long turns would delay both.
 */
export class LoopTurns {
	readonly #options: LoopTurnsOptions;
	readonly #waiting: WaitingWork[] = [];
	#turn = 0;
	#isRunning = false;

	constructor(options: LoopTurnsOptions) {
		this.#options = options;
	}

	/** Resolves in a later turn, after all events that have arrived by now have been processed, and in the order of the calls. */
	async next(): Promise<void> {
		return new Promise(resolve => {
			// The current turn may end without polling for events again.
			this.#waiting.push({dueTurn: this.#turn + 2, start: resolve});
			if (!this.#isRunning) {
				void this.#run();
			}
		});
	}

	async #run(): Promise<void> {
		this.#isRunning = true;
		while (this.#waiting.length > 0) {
			await setImmediate();
			this.#turn++;
			await this.#startDue();
		}

		this.#isRunning = false;
	}

	async #startDue(): Promise<void> {
		const {clock, sliceMs} = this.#options;
		const endMs = clock.nowMs() + sliceMs;
		do {
			if (this.#waiting[0] === undefined || this.#waiting[0].dueTurn > this.#turn) {
				return;
			}

			this.#waiting.shift()!.start();
			await microtasks();
		} while (clock.nowMs() < endMs);
	}
}

/** Resolves after the microtasks that are due, and those that they add. */
async function microtasks(): Promise<void> {
	return new Promise(resolve => {
		process.nextTick(resolve);
	});
}

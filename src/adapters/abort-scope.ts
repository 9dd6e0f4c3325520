import {EventEmitter} from 'node:events';

/** Signal for the HTTP client, which also takes an event emitter: an `AbortSignal` costs several times as much to create and to listen to. */
// eslint-disable-next-line unicorn/prefer-event-target -- an EventTarget has the cost that is avoided here.
class ExchangeSignal extends EventEmitter {
	aborted = false;

	abort(): void {
		if (!this.aborted) {
			this.aborted = true;
			this.emit('abort');
		}
	}
}

/** Aborts an exchange after a timeout or when its caller cancels it, whichever comes first. Must be closed after the exchange. */
export class AbortScope {
	readonly #signal = new ExchangeSignal();
	readonly #cancelSignal: AbortSignal | undefined;
	#timer: NodeJS.Timeout;
	readonly #onCancel: () => void;
	readonly #readsFirst: boolean;
	#immediate: NodeJS.Immediate | undefined;
	#isOverdue = false;

	/**
	 * With `readsFirst`, the event loop reads what has arrived before the timeout counts: after a long turn it runs its timers first, and would give
	 * up exchanges whose responses are there.
	 */
	constructor(timeoutMs: number, cancelSignal: AbortSignal | undefined, {readsFirst = false}: {readonly readsFirst?: boolean} = {}) {
		this.#cancelSignal = cancelSignal;
		this.#readsFirst = readsFirst;
		this.#onCancel = () => {
			this.#signal.abort();
		};

		this.#timer = this.#startTimer(timeoutMs);
		cancelSignal?.addEventListener('abort', this.#onCancel, {once: true});
		if (cancelSignal?.aborted === true) {
			this.#onCancel();
		}
	}

	get signal(): EventEmitter {
		return this.#signal;
	}

	/** Whether the timeout elapsed. */
	get isOverdue(): boolean {
		return this.#isOverdue;
	}

	/** Whether the caller cancelled the exchange. */
	get isCancelled(): boolean {
		return this.#cancelSignal?.aborted === true;
	}

	/** Starts the timeout again, with another duration. */
	restart(timeoutMs: number): void {
		this.#stopTimer();
		this.#timer = this.#startTimer(timeoutMs);
	}

	close(): void {
		this.#stopTimer();
		this.#cancelSignal?.removeEventListener('abort', this.#onCancel);
	}

	#startTimer(timeoutMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			if (this.#readsFirst) {
				this.#immediate = setImmediate(() => {
					this.#expire();
				});
			} else {
				this.#expire();
			}
		}, Math.max(1, timeoutMs));
	}

	#stopTimer(): void {
		clearTimeout(this.#timer);
		clearImmediate(this.#immediate);
	}

	#expire(): void {
		this.#isOverdue = true;
		this.#signal.abort();
	}
}

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
	#isOverdue = false;

	constructor(timeoutMs: number, cancelSignal: AbortSignal | undefined) {
		this.#cancelSignal = cancelSignal;
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
		clearTimeout(this.#timer);
		this.#timer = this.#startTimer(timeoutMs);
	}

	close(): void {
		clearTimeout(this.#timer);
		this.#cancelSignal?.removeEventListener('abort', this.#onCancel);
	}

	#startTimer(timeoutMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.#isOverdue = true;
			this.#signal.abort();
		}, Math.max(1, timeoutMs));
	}
}

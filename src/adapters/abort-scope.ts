/** Aborts an exchange after a timeout or when its caller cancels it, whichever comes first. Must be closed after the exchange. */
export class AbortScope {
	readonly #controller = new AbortController();
	readonly #cancelSignal: AbortSignal | undefined;
	readonly #timer: NodeJS.Timeout;
	readonly #onCancel: () => void;
	#isOverdue = false;

	constructor(timeoutMs: number, cancelSignal: AbortSignal | undefined) {
		this.#cancelSignal = cancelSignal;
		this.#onCancel = () => {
			this.#controller.abort();
		};

		this.#timer = setTimeout(() => {
			this.#isOverdue = true;
			this.#controller.abort();
		}, Math.max(1, timeoutMs));
		cancelSignal?.addEventListener('abort', this.#onCancel, {once: true});
		if (cancelSignal?.aborted === true) {
			this.#onCancel();
		}
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Whether the timeout elapsed. */
	get isOverdue(): boolean {
		return this.#isOverdue;
	}

	/** Whether the caller cancelled the exchange. */
	get isCancelled(): boolean {
		return this.#cancelSignal?.aborted === true;
	}

	close(): void {
		clearTimeout(this.#timer);
		this.#cancelSignal?.removeEventListener('abort', this.#onCancel);
	}
}

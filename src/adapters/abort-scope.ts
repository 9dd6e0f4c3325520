/** Ends an exchange after a time or when its caller leaves, whichever comes first; `close` after the exchange. */
export class AbortScope {
	readonly #controller = new AbortController();
	readonly #departure: AbortSignal | undefined;
	readonly #timer: NodeJS.Timeout;
	readonly #cancel: () => void;
	#isOverdue = false;

	/** `timeoutMs` is the time allowed, in milliseconds. */
	constructor(timeoutMs: number, departure: AbortSignal | undefined) {
		this.#departure = departure;
		this.#cancel = () => {
			this.#controller.abort();
		};

		this.#timer = setTimeout(() => {
			this.#isOverdue = true;
			this.#controller.abort();
		}, Math.max(1, timeoutMs));
		departure?.addEventListener('abort', this.#cancel, {once: true});
		if (departure?.aborted === true) {
			this.#cancel();
		}
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Whether the time ran out. */
	get isOverdue(): boolean {
		return this.#isOverdue;
	}

	/** Whether the caller left. */
	get isCancelled(): boolean {
		return this.#departure?.aborted === true;
	}

	close(): void {
		clearTimeout(this.#timer);
		this.#departure?.removeEventListener('abort', this.#cancel);
	}
}

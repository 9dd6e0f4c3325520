type MemoryOptions = {
	/** Whether the client's connection holds all that one connection may. */
	readonly isFull: () => boolean;
	readonly mayHold: () => boolean;
	readonly change: (bytes: number) => void;
	/** Waits for free memory; resolves with `false` if there is none in time. */
	readonly admit: () => Promise<boolean>;
	readonly onBodyRead: () => void;
};

/** Memory that is held for one request of a client and its response. */
export class RequestMemory {
	readonly #options: MemoryOptions;
	#heldBytes = 0;
	#isReleased = false;

	constructor(options: MemoryOptions) {
		this.#options = options;
	}

	/** Whether the connection of the request holds all that one connection may. */
	get isFull(): boolean {
		return this.#options.isFull();
	}

	/** Waits for free memory and then holds `bytes`; resolves with `false` if there is none in time. */
	async admit(bytes: number): Promise<boolean> {
		if (!await this.#options.admit()) {
			return false;
		}

		this.hold(bytes);
		return true;
	}

	/** Records that more bytes are held, or fewer. */
	hold(bytes: number): void {
		if (!this.#isReleased) {
			this.#heldBytes += bytes;
			this.#options.change(bytes);
		}
	}

	/** Records that more bytes are held; returns whether there is room for more. */
	tryHold(bytes: number): boolean {
		this.hold(bytes);
		return !this.#isReleased && this.#options.mayHold();
	}

	/** Records that a part of the request's body was read, so that the next one may be received. */
	recordBodyRead(): void {
		this.#options.onBodyRead();
	}

	/** Records that nothing is held any more. */
	release(): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.#options.change(-this.#heldBytes);
		}
	}
}

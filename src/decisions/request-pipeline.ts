/** A request on a connection. */
type Exchange = {
	/** Whether it may be sent on; until then the connection can close without a response to it. */
	isStarted: boolean;
	/** Called when the exchange may have become startable. */
	update: () => void;
};

/**
 * Requests that a client sent behind one another on one connection. Responses are returned in the same order. What stands behind a
 * response that closes the connection counts as not read, and the client sends it again. So the started requests are always the first
 * ones, and the connection closes with the response to the last of them.
 */
export class RequestPipeline {
	readonly #exchanges: Exchange[] = [];
	#isStopping = false;
	#hasLeftOut = false;

	/** Whether all started requests have their responses and requests behind them were left out, so that the connection has to be closed. */
	get isAbandoned(): boolean {
		return this.#hasLeftOut && this.#exchanges.length === 0;
	}

	/** Number of requests without a complete response. */
	get size(): number {
		return this.#exchanges.length;
	}

	/** Adds a request that was read; returns `undefined` if it is left out because the connection closes before its turn. */
	add(): Exchange | undefined {
		if (this.#isStopping && (this.#exchanges.length > 0 || this.#hasLeftOut)) {
			this.#hasLeftOut = true;
			return undefined;
		}

		const exchange: Exchange = {isStarted: false, update: () => undefined};
		this.#exchanges.push(exchange);
		return exchange;
	}

	/**
	 * Resolves with `true` when the request may be sent on: the one before it was started and at most `maxAhead` are ahead of it, or none while `isFull`, since what is held for the connection may not grow.
	 * Resolves with `false` if the connection closes before.
	 */
	async turn(exchange: Exchange, maxAhead: number, isFull: () => boolean = () => false): Promise<boolean> {
		return new Promise(resolve => {
			exchange.update = () => {
				const ahead = this.#exchanges.indexOf(exchange);
				if (ahead === -1) {
					resolve(false);
				} else if (ahead <= (isFull() ? 0 : maxAhead) && this.#exchanges[ahead - 1]?.isStarted !== false) {
					exchange.isStarted = true;
					resolve(true);
				}
			};

			exchange.update();
		});
	}

	/** Records that the response to a request is complete. */
	end(exchange: Exchange): void {
		const index = this.#exchanges.indexOf(exchange);
		if (index !== -1) {
			this.#exchanges.splice(index, 1);
			this.#updateAll();
		}
	}

	/** Whether a response is the last one before the connection closes. */
	isLast(exchange: Exchange): boolean {
		return this.#isStopping && this.#exchanges.at(-1) === exchange;
	}

	/** Whether a request was left out, so that it must get no response. */
	isLeftOut(exchange: Exchange): boolean {
		return !this.#exchanges.includes(exchange);
	}

	/** Leaves out what follows the requests that were read, because it cannot be read. */
	stopReading(): void {
		this.#isStopping = true;
		this.#hasLeftOut = true;
	}

	/** Leaves out the requests that are not started, except for the one whose turn it is, and those that follow. */
	stop(): void {
		this.#isStopping = true;
		this.#leaveOut(Math.max(1, this.#exchanges.filter(exchange => exchange.isStarted).length));
	}

	/** Leaves out all requests, because the connection is closed. */
	abandon(): void {
		this.#isStopping = true;
		this.#hasLeftOut = true;
		this.#leaveOut(0);
	}

	#leaveOut(from: number): void {
		const leftOut = this.#exchanges.splice(from);
		this.#hasLeftOut ||= leftOut.length > 0;
		for (const exchange of leftOut) {
			exchange.update();
		}
	}

	#updateAll(): void {
		for (const exchange of this.#exchanges) {
			exchange.update();
		}
	}
}

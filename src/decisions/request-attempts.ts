/** Result of one attempt. */
type AttemptResult =
	/** The instance responded with a complete response of its own. */
	| 'answered'
	/** No part of the request was sent. */
	| 'not_sent'
	/** The instance stated that it did not run the request. */
	| 'rejected'
	/** It is unknown whether the instance ran the request. */
	| 'unknown';

type RequestAttemptsOptions = {
	readonly isRepeatable: boolean;
	/** Maximum number of attempts that may reach an instance. */
	readonly maxAttempts: number;
};

/** Maximum number of attempts that fail before anything was sent. Without it, a request would be sent to every unreachable instance. */
const maxUnsentAttempts = 4;

/**
 * Tracks the attempts of one request and decides whether another one is allowed. Only a repeatable request is sent again
 * without proof that it did not run. A request is reported as "not run" only if every attempt is proven not to have run.
 */
export class RequestAttempts {
	readonly #options: RequestAttemptsOptions;
	#arrivals = 0;
	#unsent = 0;
	#mayHaveRun = false;

	constructor(options: RequestAttemptsOptions) {
		this.#options = options;
	}

	/** Whether an instance may have run the request in any attempt. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/** Whether the request has already reached an instance, so that the next attempt is a retry. */
	get isRetry(): boolean {
		return this.#arrivals > 0;
	}

	/** Whether the next attempt is the first to reach an instance and may be followed by another one without proof that it did not run. */
	get mayBeLost(): boolean {
		return this.#options.isRepeatable && this.#options.maxAttempts > 1 && this.#arrivals === 0;
	}

	/** Records the result of an attempt; returns whether another attempt is allowed. */
	recordResult(result: AttemptResult): boolean {
		switch (result) {
			case 'answered': {
				this.#arrivals++;
				return false;
			}

			case 'not_sent': {
				this.#unsent++;
				break;
			}

			case 'rejected': {
				this.#arrivals++;
				break;
			}

			case 'unknown': {
				this.#arrivals++;
				this.#mayHaveRun = true;
				break;
			}
		}

		const isAllowed = this.#options.isRepeatable || !this.#mayHaveRun;
		return isAllowed && this.#arrivals < this.#options.maxAttempts && this.#unsent < maxUnsentAttempts;
	}
}

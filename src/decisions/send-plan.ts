/** How one send of a request ended. */
type SendResult =
	/** The instance's own whole answer. */
	| 'answered'
	/** Nothing of the request left this host. */
	| 'not_sent'
	/** The instance states that it did not run the request. */
	| 'rejected'
	/** Nobody knows whether the request ran. */
	| 'unknown';

type SendPlanOptions = {
	readonly isRepeatable: boolean;
	/** Instances that the request may reach. */
	readonly maxAttempts: number;
};

/** Sends that may fail before anything left this host; keeps a request from trying every instance that is down. */
const maxUnsent = 4;

/**
 * The sends of one request. Only a request that may be repeated is sent again without proof that it did not run,
 * and a refusal is called "not run" only when every send before it is proven not to have run.
 */
export class SendPlan {
	readonly #options: SendPlanOptions;
	#arrivals = 0;
	#unsent = 0;
	#mayHaveRun = false;

	constructor(options: SendPlanOptions) {
		this.#options = options;
	}

	/** Whether some send may have run the request. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/** Whether the request has reached an instance before, so that the next send is a repeat. */
	get isRepeat(): boolean {
		return this.#arrivals > 0;
	}

	/** Takes in how a send ended; answers whether the request may be sent once more. */
	ended(result: SendResult): boolean {
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
		return isAllowed && this.#arrivals < this.#options.maxAttempts && this.#unsent < maxUnsent;
	}
}

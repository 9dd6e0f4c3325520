type CollectionPolicyOptions = {
	/** Memory at which the platform ends the process; infinite if the host states no size. */
	readonly processLimitBytes: number;
};

/** Share of the host's memory from which garbage is collected: enough is left for what arrives until the next check. */
const highShare = 0.85;
/** Bounds of the pause between two collections; each holds up the event loop for some tens of milliseconds of processor time. */
const initialPauseMs = 2000;
const maxPauseMs = 32_000;
/** Share of the host's memory that a collection must free; after one that frees less, the pause doubles. */
const worthwhileShare = 0.02;

/**
 * Decides when the process collects its garbage by itself. The engine decides by the limit of its heap, which may be larger than what the host's
 * memory leaves, and hardly counts buffers outside the heap.
 */
export class CollectionPolicy {
	readonly #options: CollectionPolicyOptions;
	#pauseMs = initialPauseMs;
	#nextMs = Number.NEGATIVE_INFINITY;

	constructor(options: CollectionPolicyOptions) {
		this.#options = options;
	}

	/** Returns whether to collect now, with `usedBytes` of resident memory. */
	isDue(usedBytes: number, nowMs: number): boolean {
		return usedBytes >= this.#options.processLimitBytes * highShare && nowMs >= this.#nextMs;
	}

	/** Records a collection and the bytes that it freed. */
	recordCollection(freedBytes: number, nowMs: number): void {
		const isWorthwhile = freedBytes >= this.#options.processLimitBytes * worthwhileShare;
		this.#pauseMs = isWorthwhile ? initialPauseMs : Math.min(maxPauseMs, this.#pauseMs * 2);
		this.#nextMs = nowMs + this.#pauseMs;
	}
}

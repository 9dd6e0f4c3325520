type TrackedForward = {readonly signal: AbortSignal; readonly stop: () => void};

/** Tracks the requests being forwarded to each member, so that they can be aborted when the member is lost. */
export class ForwardTracker {
	readonly #forwardTracker = new Map<string, Set<AbortController>>();

	/** Adds a request to a member; the signal returned is aborted when the member is lost or `departure` is aborted. */
	track(key: string, departure: AbortSignal): TrackedForward {
		const controller = new AbortController();
		const onDeparture = () => {
			controller.abort();
		};

		departure.addEventListener('abort', onDeparture, {once: true});
		const forwards = this.#forwardTracker.get(key) ?? new Set();
		forwards.add(controller);
		this.#forwardTracker.set(key, forwards);
		return {
			signal: controller.signal,
			stop: () => {
				departure.removeEventListener('abort', onDeparture);
				forwards.delete(controller);
				if (forwards.size === 0) {
					this.#forwardTracker.delete(key);
				}
			},
		};
	}

	/** Aborts the requests to members that are lost. */
	abortLost(isLost: (key: string) => boolean): void {
		for (const [key, forwards] of this.#forwardTracker) {
			if (isLost(key)) {
				for (const controller of forwards) {
					controller.abort();
				}
			}
		}
	}
}

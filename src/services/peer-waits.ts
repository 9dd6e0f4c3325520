type Wait = {readonly signal: AbortSignal; readonly stop: () => void};

/** Tracks the requests being forwarded to each member, so that they can be aborted when the member is lost. */
export class PeerWaits {
	readonly #waits = new Map<string, Set<AbortController>>();

	/** Adds a request to a member; the signal returned is aborted when the member is lost or `departure` is aborted. */
	begin(key: string, departure: AbortSignal): Wait {
		const controller = new AbortController();
		const onDeparture = () => {
			controller.abort();
		};

		departure.addEventListener('abort', onDeparture, {once: true});
		const waits = this.#waits.get(key) ?? new Set();
		waits.add(controller);
		this.#waits.set(key, waits);
		return {
			signal: controller.signal,
			stop: () => {
				departure.removeEventListener('abort', onDeparture);
				waits.delete(controller);
				if (waits.size === 0) {
					this.#waits.delete(key);
				}
			},
		};
	}

	/** Aborts the requests to members that are lost. */
	abandon(isLost: (key: string) => boolean): void {
		for (const [key, waits] of this.#waits) {
			if (isLost(key)) {
				for (const controller of waits) {
					controller.abort();
				}
			}
		}
	}
}

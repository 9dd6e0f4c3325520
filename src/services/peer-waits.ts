type Wait = {readonly signal: AbortSignal; readonly stop: () => void};

/** Requests on their way to each member, so that they can be given up when the member is lost. */
export class PeerWaits {
	readonly #waits = new Map<string, Set<AbortController>>();

	/** Begins a wait for a member; its signal is aborted when the member is lost or `departure` is aborted. */
	begin(key: string, departure: AbortSignal): Wait {
		const controller = new AbortController();
		const leave = () => {
			controller.abort();
		};

		departure.addEventListener('abort', leave, {once: true});
		const waits = this.#waits.get(key) ?? new Set();
		waits.add(controller);
		this.#waits.set(key, waits);
		return {
			signal: controller.signal,
			stop: () => {
				departure.removeEventListener('abort', leave);
				waits.delete(controller);
				if (waits.size === 0) {
					this.#waits.delete(key);
				}
			},
		};
	}

	/** Gives up the waits for members that are lost. */
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

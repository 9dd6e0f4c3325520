type TrackedForward = {readonly signal: AbortSignal; readonly end: () => void};

/** Tracks the requests being forwarded to each member, so that they can be aborted when the member is lost. */
export class ForwardTracker {
	readonly #forwards = new Map<string, Set<AbortController>>();

	/** Tracks a request that is forwarded to a member; the signal returned is aborted when the member is lost or `disconnect` is aborted. */
	track(key: string, disconnect: AbortSignal): TrackedForward {
		const controller = new AbortController();
		const onDisconnect = () => {
			controller.abort();
		};

		disconnect.addEventListener('abort', onDisconnect, {once: true});
		const forwards = this.#forwards.get(key) ?? new Set();
		forwards.add(controller);
		this.#forwards.set(key, forwards);
		return {
			signal: controller.signal,
			end: () => {
				disconnect.removeEventListener('abort', onDisconnect);
				forwards.delete(controller);
				if (forwards.size === 0) {
					this.#forwards.delete(key);
				}
			},
		};
	}

	/** Aborts the requests to members that are lost. */
	abortLost(isLost: (key: string) => boolean): void {
		for (const [key, forwards] of this.#forwards) {
			if (isLost(key)) {
				for (const controller of forwards) {
					controller.abort();
				}
			}
		}
	}
}

type Cleanup = {readonly name: string; readonly run: () => Promise<void> | void};
type CleanupFailure = {readonly name: string; readonly err: unknown};

/** Owns resources and releases them in the reverse order of their registration. */
export class Lifecycle {
	readonly #cleanups: Cleanup[] = [];
	#isClosed = false;

	/** Registers a clean-up. One registered after `close` runs at once. */
	own(name: string, run: () => Promise<void> | void): void {
		if (this.#isClosed) {
			void run();
			return;
		}

		this.#cleanups.push({name, run});
	}

	/** Registers a repeating timer; the callback's interval is in milliseconds. */
	every(name: string, intervalMs: number, run: () => void): void {
		const timer = setInterval(run, intervalMs);
		this.own(name, () => {
			clearInterval(timer);
		});
	}

	/** Releases everything; a failed clean-up does not keep the others from running. */
	async close(): Promise<readonly CleanupFailure[]> {
		this.#isClosed = true;
		const failures: CleanupFailure[] = [];
		for (const {name, run} of this.#cleanups.splice(0).toReversed()) {
			try {
				await run();
			} catch (err) {
				failures.push({name, err});
			}
		}

		return failures;
	}
}

type Cleanup = {readonly name: string; readonly run: () => Promise<void> | void};
type CleanupFailure = {readonly name: string; readonly err: unknown};

/** Runs registered cleanups in the reverse order of their registration. */
export class Lifecycle {
	readonly #cleanups: Cleanup[] = [];
	#isClosed = false;

	/** Registers a cleanup. After `close` has been called, the cleanup runs immediately. */
	addCleanup(name: string, run: () => Promise<void> | void): void {
		if (this.#isClosed) {
			void run();
			return;
		}

		this.#cleanups.push({name, run});
	}

	/** Calls `run` at a fixed interval, in milliseconds, until the lifecycle is closed. */
	every(name: string, intervalMs: number, run: () => void): void {
		const timer = setInterval(run, intervalMs);
		this.addCleanup(name, () => {
			clearInterval(timer);
		});
	}

	/** Runs all cleanups, also after one has failed; returns the failures. */
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

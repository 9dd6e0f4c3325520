type TransferAdmissionOptions = {
	/** Bandwidth of the host's link, in megabits per second; infinite if the settings state none. */
	readonly linkMbps: number;
};

/** Transfers up to this size are always admitted: they neither fill the link nor much memory. */
const smallBytes = 65_536;
/** Time in which the link could carry all admitted transfers, so that each is received in a few times its own time. */
const budgetMs = 1000;
/** Limit of the memory of all admitted transfers, in bytes. */
const maxBudgetBytes = 4_194_304;
/** Time after which a transfer is no longer counted: its receiver may be gone, and a host that passes the data on is admitted in its place. */
const countedMs = 3000;
const bytesPerMsAtOneMbps = 125;

/**
 * Limits the large transfers that a host sends to its peers at the same time. The link carries a few of them quickly or many of them slowly, and
 * each peer that has the data passes it on. One transfer of any size is always admitted.
 */
export class TransferAdmission {
	readonly #budgetBytes: number;
	readonly #transfers = new Set<{readonly bytes: number; readonly countedUntilMs: number}>();

	constructor({linkMbps}: TransferAdmissionOptions) {
		this.#budgetBytes = Math.min(maxBudgetBytes, linkMbps * bytesPerMsAtOneMbps * budgetMs);
	}

	/** Admits a transfer; returns a function that must be called at its end, or `undefined` if the transfer is refused. */
	admit(bytes: number, nowMs: number): (() => void) | undefined {
		if (bytes <= smallBytes) {
			return () => undefined;
		}

		let admittedBytes = 0;
		for (const transfer of this.#transfers) {
			if (nowMs >= transfer.countedUntilMs) {
				this.#transfers.delete(transfer);
			} else {
				admittedBytes += transfer.bytes;
			}
		}

		if (admittedBytes > 0 && admittedBytes + bytes > this.#budgetBytes) {
			return undefined;
		}

		const transfer = {bytes, countedUntilMs: nowMs + countedMs};
		this.#transfers.add(transfer);
		return () => {
			this.#transfers.delete(transfer);
		};
	}
}

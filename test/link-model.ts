type Transfer = {
	/** Index of the sending host; `undefined` for the store. */
	readonly from: number | undefined;
	readonly to: number;
	remainingBytes: number;
	readonly onProgress?: () => void;
	readonly onEnd: () => void;
};

const bytesPerMsAtOneMbps = 125;

/** Test model of hosts' links, whose two directions are each shared evenly by the transfers on them. The store's own link has no limit. */
export class LinkModel {
	readonly #linkMbps: readonly number[];
	#transfers: Transfer[] = [];

	/** `linkMbps` are the bandwidths of the hosts' links. */
	constructor(linkMbps: readonly number[]) {
		this.#linkMbps = linkMbps;
	}

	start(bytes: number, transfer: Omit<Transfer, 'remainingBytes'>): void {
		this.#transfers.push({...transfer, remainingBytes: bytes});
	}

	/** Advances all transfers. */
	run(durationMs: number): void {
		const count = (side: 'from' | 'to', index: number | undefined) => this.#transfers.filter(transfer => transfer[side] === index).length;
		const rates = this.#transfers.map(({from, to}) => Math.min(
			this.#linkMbps[to]! / count('to', to),
			from === undefined ? Number.POSITIVE_INFINITY : this.#linkMbps[from]! / count('from', from),
		));
		const transfers = this.#transfers;
		for (const [index, transfer] of transfers.entries()) {
			transfer.remainingBytes -= rates[index]! * bytesPerMsAtOneMbps * durationMs;
			transfer.onProgress?.();
		}

		this.#transfers = transfers.filter(transfer => transfer.remainingBytes > 0);
		for (const transfer of transfers.filter(({remainingBytes}) => remainingBytes <= 0)) {
			transfer.onEnd();
		}
	}
}

/** Response on its way; `from` is `undefined` for one of the store, whose own link is never the narrowest. */
type Transfer = {
	readonly from: number | undefined;
	readonly to: number;
	remainingBytes: number;
	progressMs: number;
	readonly onProgress?: () => void;
	readonly onEnd: (nowMs: number) => void;
	readonly onFailure: (nowMs: number) => void;
};

const bytesPerMsAtOneMbps = 125;
/** Time without progress after which a transfer is given up. */
const stallLimitMs = 800;

/** Transfers between hosts, and from the store to hosts, in virtual time. Those over a link have equal shares of it. */
export class LinkTransfers {
	readonly #linksMbps: readonly number[];
	readonly #isReachable: (transfer: Pick<Transfer, 'from' | 'to'>) => boolean;
	#transfers: Transfer[] = [];

	constructor(linksMbps: readonly number[], isReachable: (transfer: Pick<Transfer, 'from' | 'to'>) => boolean) {
		this.#linksMbps = linksMbps;
		this.#isReachable = isReachable;
	}

	begin(transfer: Omit<Transfer, 'progressMs'>, nowMs: number): Transfer {
		const begun = {...transfer, progressMs: nowMs};
		this.#transfers.push(begun);
		return begun;
	}

	/** Ends a transfer without notice to anyone. */
	drop(transfer: Transfer): void {
		this.#transfers = this.#transfers.filter(other => other !== transfer);
	}

	/** Ends the transfers from and to a host whose process has ended; those that receive from it notice after a time. */
	endProcess(index: number): void {
		this.#transfers = this.#transfers.filter(({to}) => to !== index).map(transfer => (transfer.from === index ? {...transfer, remainingBytes: Number.POSITIVE_INFINITY} : transfer));
	}

	/** Moves the bytes of one step of `stepMs`. */
	advance(nowMs: number, stepMs: number): void {
		const moving = this.#transfers.filter(transfer => this.#isReachable(transfer) && transfer.remainingBytes < Number.POSITIVE_INFINITY);
		const shareOf = (index: number, end: 'from' | 'to') => this.#linksMbps[index]! * bytesPerMsAtOneMbps * stepMs / moving.filter(transfer => transfer[end] === index).length;
		const moved = moving.map(({from, to}) => Math.min(shareOf(to, 'to'), from === undefined ? Number.POSITIVE_INFINITY : shareOf(from, 'from')));
		for (const [order, transfer] of moving.entries()) {
			transfer.remainingBytes -= moved[order]!;
			transfer.progressMs = nowMs;
			transfer.onProgress?.();
		}

		const ended = this.#transfers.filter(({remainingBytes}) => remainingBytes <= 0);
		const failed = this.#transfers.filter(({remainingBytes, progressMs}) => remainingBytes > 0 && nowMs - progressMs > stallLimitMs);
		this.#transfers = this.#transfers.filter(transfer => !ended.includes(transfer) && !failed.includes(transfer));
		for (const {onEnd} of ended) {
			onEnd(nowMs);
		}

		for (const {onFailure} of failed) {
			onFailure(nowMs);
		}
	}
}

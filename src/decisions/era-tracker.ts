/** Interval between reads of the store by a host that has heard of a newer era and does not have its items. */
const readIntervalMs = 2000;
/** Time for which a host that does not watch the store waits for peers that have the new era. Without it every host would read all items after each restore. */
const peerGraceMs = 1000;

/**
 * Decides when a host reads the whole store because the store was restored from an earlier copy. Each restore begins a new
 * era; a host learns of it from the store's responses and from peers. Designed for a few restores a minute.
 */
export class EraTracker {
	#era = 0;
	#heardEra = 0;
	#heardMs = Number.NEGATIVE_INFINITY;
	#lastReadMs = Number.NEGATIVE_INFINITY;

	/** Whether this host has heard of an era whose items it does not have. */
	get isBehind(): boolean {
		return this.#heardEra > this.#era;
	}

	/** Records that the store or a peer stated an era. */
	hear(era: number, nowMs: number): void {
		if (era > this.#heardEra) {
			this.#heardEra = era;
			this.#heardMs = nowMs;
			this.#lastReadMs = Number.NEGATIVE_INFINITY;
		}
	}

	/** Records that this host has the items of an era. */
	enter(era: number): void {
		this.#era = Math.max(this.#era, era);
	}

	/** Records that the store itself stated an era in a full read; forgets newer eras, which then only a corrupt message can have named. */
	confirm(era: number): void {
		this.#heardEra = era;
	}

	/** Returns whether the host has to read all items now. */
	isReadDue(nowMs: number, isWatching: boolean): boolean {
		const isDue = this.isBehind && nowMs - this.#lastReadMs >= readIntervalMs && (isWatching || nowMs - this.#heardMs >= peerGraceMs);
		if (isDue) {
			this.#lastReadMs = nowMs;
		}

		return isDue;
	}
}

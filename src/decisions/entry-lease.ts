/**
 * Lease under which a host's entry is written. A lease is of use only in the era of the store in which it was opened: a restored
 * store has lost it, or gives its id to another host, whose entry this host would then renew or remove.
 */
export class EntryLease {
	#held: {readonly leaseId: number; readonly era: number} | undefined;
	#era = 0;

	/** Id of the lease; `undefined` if the entry has to be written under a new one. */
	get id(): number | undefined {
		return this.#held?.era === this.#era ? this.#held.leaseId : undefined;
	}

	/** Records an era that the store states. */
	hear(era: number): void {
		this.#era = Math.max(this.#era, era);
	}

	/** Records that the entry was written in an era under a lease opened in an era; returns whether both are still the store's. */
	recordWritten(leaseId: number, openedEra: number, writtenEra: number): boolean {
		this.hear(openedEra);
		this.hear(writtenEra);
		this.#held = openedEra === writtenEra ? {leaseId, era: openedEra} : undefined;
		return this.id !== undefined;
	}

	/** Records that the store does not know a lease. */
	recordLost(leaseId: number): void {
		if (this.#held?.leaseId === leaseId) {
			this.#held = undefined;
		}
	}
}

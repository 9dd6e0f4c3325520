/** Number of members that are probed in a period after a probe failed; a burst of small datagrams that any link carries. */
const someMembers = 16;
/** Largest number of members that are probed in one period. */
const maxMembers = 256;
/** Share of failed probes from which more members than one are probed in the next period, too. */
const continuedShare = 0.25;
/** Share of failed probes from which all members are probed: those that are left may be too few to share the work. */
const wideShare = 0.5;

/**
 * Decides how many members the failure detector probes in each period. Usually one is enough, since all members of a region share the work. If
 * most of them are lost at the same moment, the others have to find it out alone, in a time that does not depend on how many are lost: a failed
 * probe widens the search to some members, and if half of those fail, to all.
 */
export class ProbeBreadth {
	#count = 1;
	#succeeded = 0;
	#failed = 0;

	/** Number of members to probe in the present period. */
	get count(): number {
		return this.#count;
	}

	recordSuccess(): void {
		this.#succeeded++;
	}

	recordFailure(): void {
		this.#failed++;
	}

	/** Returns the number of members to probe in the period that begins now, from the results since the last call. */
	next(): number {
		const probed = this.#succeeded + this.#failed;
		const failedShare = probed === 0 ? 0 : this.#failed / probed;
		[this.#succeeded, this.#failed] = [0, 0];
		if (failedShare < continuedShare) {
			this.#count = 1;
		} else {
			this.#count = this.#count > 1 && failedShare >= wideShare ? maxMembers : Math.max(this.#count, someMembers);
		}

		return this.#count;
	}
}

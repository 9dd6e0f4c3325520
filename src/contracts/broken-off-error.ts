/** Why a response was broken off: its time ran out, its client left, or its instance or the connection to it failed. */
type BrokenOffReason = 'overdue' | 'cancelled' | 'lost';

/** Thrown while the rest of a response is read, if the response ends early. */
export class BrokenOffError extends Error {
	readonly reason: BrokenOffReason;

	constructor(reason: BrokenOffReason, detail: string) {
		super(detail);
		this.name = 'BrokenOffError';
		this.reason = reason;
	}
}

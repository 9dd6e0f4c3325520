type Reservation = {
	/** Reserves more bytes if the limits allow it; returns whether it did. */
	readonly grow: (bytes: number) => boolean;
	/** Frees all bytes of the reservation, which can no longer grow. */
	readonly release: () => void;
};

type ByteBudgetOptions = {
	/** Limit of all reservations together, in bytes. */
	readonly totalBytes: number;
	/** Limit of one reservation, in bytes. */
	readonly reservationBytes: number;
};

/** Memory that several users share. */
export class ByteBudget {
	readonly #reservationBytes: number;
	#free: number;

	constructor({totalBytes, reservationBytes}: ByteBudgetOptions) {
		this.#free = totalBytes;
		this.#reservationBytes = reservationBytes;
	}

	/** Opens an empty reservation. */
	reserve(): Reservation {
		let reserved = 0;
		let isOpen = true;
		return {
			grow: bytes => {
				if (!isOpen || bytes > this.#free || reserved + bytes > this.#reservationBytes) {
					return false;
				}

				this.#free -= bytes;
				reserved += bytes;
				return true;
			},
			release: () => {
				isOpen = false;
				this.#free += reserved;
				reserved = 0;
			},
		};
	}
}

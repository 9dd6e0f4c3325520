/** Entry of an instance in the store, written by the instance itself. */
export type LiveInstance = {
	readonly id: string;
	/** Time of the instance's start by its own clock, in Unix milliseconds; 0 if the entry has none. Distinguishes processes with the same id. */
	readonly born: number;
	readonly service: string;
	/** IPv4 address and port. */
	readonly address: string;
	readonly zone: string;
	/** Number of requests that the instance runs at the same time. */
	readonly slots: number;
	/** Whether the instance accepts no new requests. */
	readonly isDraining: boolean;
	/** Number of the state that the entry tells; a process counts it up. */
	readonly sequence?: number;
	/** Time for which the instance remains cold, counted from the write of the entry, in milliseconds. */
	readonly coldMs: number;
};

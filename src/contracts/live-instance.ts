/** What an instance says of itself in the store. */
export type LiveInstance = {
	readonly id: string;
	/** Moment of the instance's start as it states it, in Unix milliseconds; tells two lives under one id apart. */
	readonly born: number;
	readonly service: string;
	/** IPv4 number and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	/** Whether the instance takes no new work. */
	readonly isDraining: boolean;
	/** Time for which the instance stays cold, in milliseconds from the moment of its statement. */
	readonly coldMs: number;
};

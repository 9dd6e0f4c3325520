/** One key of the store as it was last written. */
export type StoreItem = {
	readonly key: string;
	/** Text of the value; bytes that are no UTF-8 become replacement characters. */
	readonly value: string;
	/** Revision of the store at the last write of the key. */
	readonly revision: number;
};

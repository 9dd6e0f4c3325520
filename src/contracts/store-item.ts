/** Latest value of a key of the store. */
export type StoreItem = {
	readonly key: string;
	/** Value decoded as UTF-8; invalid bytes are decoded as replacement characters. */
	readonly value: string;
	/** Revision of the store at the last write of the key, in the era of the read. */
	readonly revision: number;
};

/** Point in the history of the store. Revisions of one era are ordered; those of two eras are not, since a restored store gives revisions out again. */
export type StoreVersion = {
	/** Era that the store states: it rises with each restore of an earlier copy. 0 if the store states none, or if the sender of the version does not know it. */
	readonly era: number;
	readonly revision: number;
};

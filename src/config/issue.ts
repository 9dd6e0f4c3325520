/** A problem found in a file. */
export type Issue = {
	/** Stable identifier of the kind of problem, such as `unknown_key`. */
	readonly code: string;
	/** Name of the file. */
	readonly file: string;
	/** Line in the file, starting at 1; absent if it is not known. */
	readonly line?: number;
	/** Path of keys and array indexes to the value, outermost first. */
	readonly path: ReadonlyArray<string | number>;
	/** Description of the problem and of what is allowed. */
	readonly message: string;
};

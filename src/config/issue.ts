/** One problem found in a file, in the shape that every check of the project reports. */
export type Issue = {
	/** Stable identifier of the kind of problem, such as `unknown_key`. */
	readonly code: string;
	/** File in which the problem stands. */
	readonly file: string;
	/** Line in the file, from 1; absent when the file cannot be read. */
	readonly line?: number;
	/** Keys that lead to the value, outermost first. */
	readonly path: ReadonlyArray<string | number>;
	/** What is wrong and what is allowed. */
	readonly message: string;
};

/** Outcome of a fallible call: either its data or its error, never an exception. */
export type Result<T, E> = {readonly success: true; readonly data: T} | {readonly success: false; readonly error: E};

/** Result of a call that may fail: either data or an error. Expected failures are returned, not thrown. */
export type Result<T, E> = {readonly success: true; readonly data: T} | {readonly success: false; readonly error: E};

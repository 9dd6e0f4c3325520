import {type Result} from '../result.js';

type StoreEntry = {
	readonly value: string;
	/** Changes with every write of the key. */
	readonly version: number;
};

/**
 * A failed call. After `lost_answer` a write may or may not have taken effect;
 * after the others it has not.
 */
type StoreError =
	| {readonly code: 'unavailable'; readonly message: string}
	| {readonly code: 'throttled'; readonly message: string}
	| {readonly code: 'lost_answer'; readonly message: string}
	| {readonly code: 'invalid_answer'; readonly message: string};

/** The platform's key-value service: compare-and-swap and watches; each call is counted and paid for. */
export type Store = {
	/** The latest value of a key, or `undefined` when it does not exist. */
	readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;
	/** Writes a key if its version is still `expected`; 0 stands for a key that does not exist. */
	readonly put: (key: string, value: string, expected: number) => Promise<Result<{readonly isSwapped: boolean}, StoreError>>;
	/** Waits up to `waitMs` for a version other than `after`; answers the key as it then stands. */
	readonly watch: (key: string, after: number, waitMs: number, signal: AbortSignal) => Promise<Result<StoreEntry | undefined, StoreError>>;
};

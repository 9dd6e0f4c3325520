import {type Result} from '../result.js';

type StoreEntry = {
	readonly value: string;
	/** Version of the key; changes with each write, and is never 0. */
	readonly version: number;
};

/** Error of a failed call. After `lost_answer` a write may have taken effect; after the other errors it has not. */
type StoreError =
	| {readonly code: 'unavailable'; readonly message: string}
	| {readonly code: 'throttled'; readonly message: string}
	| {readonly code: 'lost_answer'; readonly message: string}
	| {readonly code: 'invalid_answer'; readonly message: string};

/** The platform's key-value service, with compare-and-swap and watches. The platform charges for each call. */
export type Store = {
	/** Returns the latest value of a key, or `undefined` if it does not exist. */
	readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;
	/** Writes a key if its version is `expectedVersion`, or if it does not exist and `expectedVersion` is 0; returns whether it was written. */
	readonly put: (key: string, value: string, expectedVersion: number) => Promise<Result<{readonly isSwapped: boolean}, StoreError>>;
	/** Waits up to `waitMs` for a version other than `afterVersion`; returns the latest value of the key, changed or not. */
	readonly watch: (key: string, afterVersion: number, waitMs: number, signal: AbortSignal) => Promise<Result<StoreEntry | undefined, StoreError>>;
};

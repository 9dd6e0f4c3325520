import {type HttpDialect} from '../contracts/http-dialect.js';

/** A client's request for a published route. */
export type ProxyRequest = ReturnType<HttpDialect['readRequest']> & {
	readonly method: string;
	readonly host: string;
	/** Path and query, as the client sent them. */
	readonly target: string;
	/** Alternating header names and values, as the client sent them. */
	readonly headers: readonly string[];
	/** Monotonic time at which the request's head was read. */
	readonly arrivedMs: number;
	/**
	 * Reads the body: as one buffer up to `maxBufferedBytes`, otherwise as a stream of the whole body. `shouldHold` is called with the beginning of
	 * a longer one, which has more than `maxBufferedBytes`; if it returns true, that is read as one buffer, too, unless there is no room for it or it takes longer than `holdMs` milliseconds.
	 */
	readonly readBody: (options: {readonly maxBufferedBytes: number; readonly shouldHold: (start: Uint8Array) => boolean; readonly holdMs: number}) => Promise<ProxyBody>;
	/** Records that more bytes of a response are held for the client; returns whether there is room for more. Without it there always is. */
	readonly tryHold?: ((bytes: number) => boolean) | undefined;
	/** Resolves with `true` when at most `maxAhead` requests that the client sent before this one have no response yet; with `false` if there will be no response to this one. */
	readonly waitForTurn: (maxAhead: number) => Promise<boolean>;
	/** Aborted when the client closes the connection. */
	readonly disconnect: AbortSignal;
};

type ProxyBody =
	| {readonly kind: 'none'}
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'stream'; readonly source: AsyncIterable<Uint8Array>}
	| {readonly kind: 'too_large'}
	/** The host holds as much for its clients as it may. */
	| {readonly kind: 'no_memory'}
	/** The client closed the connection before the end of the body. */
	| {readonly kind: 'broken'};

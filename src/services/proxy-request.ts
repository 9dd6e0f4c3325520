import {type HttpDialect} from '../contracts/http-dialect.js';

/** A client's request for a published route. */
export type ProxyRequest = ReturnType<HttpDialect['readRequest']> & {
	readonly method: string;
	readonly host: string;
	/** Path and query, as the client sent them. */
	readonly target: string;
	/** Header names and values in turn, as the client sent them. */
	readonly headers: readonly string[];
	/** Moment at which the request's head was read, in monotonic milliseconds. */
	readonly arrivedMs: number;
	/** Reads the body: whole if it is short, or as a stream of the given start and the rest. */
	readonly readBody: (maxBytes: number) => Promise<ProxyBody>;
	/** Aborted when the client leaves. */
	readonly departure: AbortSignal;
};

type ProxyBody =
	| {readonly kind: 'none'}
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'stream'; readonly source: AsyncIterable<Uint8Array>}
	| {readonly kind: 'too_large'}
	/** The client broke off. */
	| {readonly kind: 'broken'};

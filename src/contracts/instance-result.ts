import {type HttpDialect} from './http-dialect.js';

/** How the end of a response is marked. With `connection`, a truncated response cannot be told from a complete one. */
type Framing = 'length' | 'chunks' | 'connection';

type ResponseHead = {
	readonly status: number;
	/** Alternating header names and values as received, including hop-by-hop headers. */
	readonly headers: readonly string[];
	readonly info: ReturnType<HttpDialect['readResponse']>;
};

/** Result of an attempt to send a request to an instance. After `lost`, `broken`, `overdue` and `cancelled` the request may have run. */
export type InstanceResult =
	/** A complete response. */
	| (ResponseHead & {readonly kind: 'whole'; readonly body: Uint8Array; readonly framing: Framing})
	/** The start of a long response; iterating `rest` throws a `BrokenOffError` if the response is truncated. */
	| (ResponseHead & {readonly kind: 'partial'; readonly framing: Framing; readonly start: Uint8Array; readonly rest: AsyncIterable<Uint8Array>})
	/** The instance states that it did not run the request. */
	| (ResponseHead & {readonly kind: 'not_run'})
	/** No part of the request was sent. */
	| {readonly kind: 'not_sent'; readonly detail: string}
	/** No part of the request was sent: once a connection was open, the caller no longer wanted to send to this instance. */
	| {readonly kind: 'outdated'}
	/** The response belongs to another request or violates the protocol. */
	| {readonly kind: 'broken'; readonly detail: string}
	/** The connection was lost before the end of the response. */
	| {readonly kind: 'lost'; readonly detail: string}
	/** The response was not complete within the time allowed. */
	| {readonly kind: 'overdue'}
	/** The client closed its connection. */
	| {readonly kind: 'cancelled'};

import {type HttpDialect} from './http-dialect.js';

/** One attempt to send a request to an instance. */
export type InstanceCall = {
	/** IPv4 address and port. */
	readonly address: string;
	readonly instanceId: string;
	readonly requestId: string;
	readonly method: string;
	/** Path and query, unchanged from the client's request. */
	readonly target: string;
	/** Alternating header names and values, unchanged from the client's request. */
	readonly headers: readonly string[];
	/** Whether the client's identity headers are left out: the configuration has accounts. */
	readonly hidesIdentity: boolean;
	/** Name of the account that sent the request, which the instance is told. */
	readonly accountName: string | undefined;
	readonly body: Uint8Array | AsyncIterable<Uint8Array> | undefined;
	/** Time within which the whole response must be received, in milliseconds. */
	readonly remainingMs: number;
	/**
	 * Whether a connection may be used that has been idle for long: the peer may have forgotten it, so that the request is lost and must be sent
	 * again. Not allowed unless it is given.
	 */
	readonly allowsLongIdle?: boolean;
	/** Returns whether the request may still be sent to this instance. Called when a connection has been opened for it, which takes time. */
	readonly isCurrent?: () => boolean;
	/** Called with the head of each response that arrives, including one that belongs to another request, before its body is read. */
	readonly onHead: (info: ReturnType<HttpDialect['readResponse']>) => void;
	/** Aborted when the client closes its connection. */
	readonly disconnect: AbortSignal;
	/** Records that more bytes of the response are buffered; returns whether there is room for more. Without it there always is. */
	readonly tryHold?: ((bytes: number) => boolean) | undefined;
};

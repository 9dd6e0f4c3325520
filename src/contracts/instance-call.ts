/** A request on its way to one instance. */
export type InstanceCall = {
	/** IPv4 number and port. */
	readonly address: string;
	readonly instanceId: string;
	readonly requestId: string;
	readonly method: string;
	/** Path and query, as the client sent them. */
	readonly target: string;
	/** Header names and values in turn, as the client sent them. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | AsyncIterable<Uint8Array> | undefined;
	/** Time left for the whole answer, in milliseconds. */
	readonly remainingMs: number;
	/** Aborted when the client leaves. */
	readonly departure: AbortSignal;
};

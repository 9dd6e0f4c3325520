/** Codes of errors that occur before any byte of the request is written. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'EMFILE']);

/** Classifies the error of a failed exchange; `not_sent` proves that the server received nothing. */
export function describeFailure(err: unknown): {readonly kind: 'not_sent' | 'lost'; readonly detail: string} {
	const code = err instanceof Error && 'code' in err ? String(err.code) : 'unknown';
	const detail = err instanceof Error ? `${code}: ${err.message}` : code;
	// Nothing is written before a connection is open, so that it may also be reset without a loss while it opens.
	const isConnecting = err instanceof Error && 'syscall' in err && err.syscall === 'connect';
	return {kind: isConnecting || notSentCodes.has(code) ? 'not_sent' : 'lost', detail};
}

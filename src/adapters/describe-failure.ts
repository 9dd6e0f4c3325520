/** Codes of errors that occur before any byte of the request is written. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'EMFILE']);

/** Name of the HTTP parser's errors, which have no code. */
const parserErrorName = 'HTTPParserError';
/** Reason that the HTTP parser states if the connection ends within a response, which is then lost. */
const earlyEndReason = 'Invalid EOF state';

/** Classifies the error of a failed exchange; `not_sent` proves that the server received nothing, `broken` that it sent bytes that are no response. */
export function describeFailure(err: unknown): {readonly kind: 'not_sent' | 'lost' | 'broken'; readonly detail: string} {
	const code = err instanceof Error && 'code' in err ? String(err.code) : 'unknown';
	const detail = err instanceof Error ? `${code}: ${err.message}` : code;
	// Nothing is written before a connection is open, so that it may also be reset without a loss while it opens.
	const isConnecting = err instanceof Error && 'syscall' in err && err.syscall === 'connect';
	if (isConnecting || notSentCodes.has(code)) {
		return {kind: 'not_sent', detail};
	}

	const isParserError = err instanceof Error && err.name === parserErrorName;
	return {kind: isParserError && !err.message.includes(earlyEndReason) ? 'broken' : 'lost', detail};
}

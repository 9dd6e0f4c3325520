/**
 * Returns the text of an error of a call to a peer for the log. The message of a syntax error quotes the response, which may be the
 * configuration with clients' keys.
 */
export function describeCallError(err: unknown): string {
	const isUnreadable = err instanceof Error && (err instanceof SyntaxError || err.cause instanceof SyntaxError);
	return isUnreadable ? 'the response is not valid JSON' : String(err);
}

/** Range of the statuses that HTTP defines (RFC 9110, section 15). */
const minStatus = 100;
const maxStatus = 599;

/** Returns why a response with this status must not be forwarded, or `undefined` if HTTP defines the status. */
export function statusFault(status: number): string | undefined {
	return status < minStatus || status > maxStatus ? `the response has status ${status}, which HTTP does not define` : undefined;
}

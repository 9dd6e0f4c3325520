/** Returns a request in HTTP/1.1 as text. With `isLast`, it asks for the connection to be closed after the answer. */
export function requestText({method, path, id, deadlineMs, body, isLast = false}) {
	const lines = [
		`${method} ${path} HTTP/1.1`,
		'Host: shop.example',
		`X-Request-Id: ${id}`,
		`X-Deadline-Ms: ${deadlineMs}`,
		...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
		...(isLast ? ['Connection: close'] : []),
	];
	return `${lines.join('\r\n')}\r\n\r\n${body ?? ''}`;
}

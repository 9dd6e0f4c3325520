/** Parses an IPv4 address into an unsigned 32-bit number; returns `undefined` if the text is not one. Accepts IPv4-mapped IPv6 addresses. */
export function parseIpv4(text: string): number | undefined {
	const dotted = text.startsWith('::ffff:') ? text.slice('::ffff:'.length) : text;
	const parts = dotted.split('.');
	if (parts.length !== 4) {
		return undefined;
	}

	let value = 0;
	for (const part of parts) {
		const byte = Number(part);
		if (!/^\d{1,3}$/.test(part) || byte > 255) {
			return undefined;
		}

		value = (value * 256) + byte;
	}

	return value;
}

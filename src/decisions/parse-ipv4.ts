/** An IPv4 number as an unsigned 32-bit number; `undefined` if the text is none. IPv4-mapped IPv6 is accepted. */
export function parseIpv4(text: string): number | undefined {
	const plain = text.startsWith('::ffff:') ? text.slice('::ffff:'.length) : text;
	const parts = plain.split('.');
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

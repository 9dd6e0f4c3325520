/** Hop-by-hop headers, which concern only one connection (RFC 9110, section 7.6.1). */
const hopByHopNames = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade']);

/**
 * Returns alternating header names and values without the hop-by-hop headers, the headers that the `Connection` header names,
 * and the headers in `dropped`, whose names are in lower case.
 */
export function endToEndHeaders(raw: readonly string[], dropped: ReadonlySet<string>): string[] {
	const named = new Set<string>();
	for (let index = 0; index < raw.length; index += 2) {
		if (raw[index]!.toLowerCase() === 'connection') {
			for (const token of raw[index + 1]!.split(',')) {
				named.add(token.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let index = 0; index < raw.length; index += 2) {
		const name = raw[index]!.toLowerCase();
		if (!hopByHopNames.has(name) && !named.has(name) && !dropped.has(name)) {
			kept.push(raw[index]!, raw[index + 1]!);
		}
	}

	return kept;
}

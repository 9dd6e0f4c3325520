/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const hopNames = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade']);

/** Drops the headers of one connection, those that its `Connection` header names, and others by name, in lower case. */
export function hopHeaders(raw: readonly string[], dropped: ReadonlySet<string>): string[] {
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
		if (!hopNames.has(name) && !named.has(name) && !dropped.has(name)) {
			kept.push(raw[index]!, raw[index + 1]!);
		}
	}

	return kept;
}

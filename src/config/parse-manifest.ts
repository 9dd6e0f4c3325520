import {Manifest} from './manifest.js';

/** Reads a manifest as the store holds it; `undefined` when it is none. */
export function parseManifest(text: string): Manifest | undefined {
	try {
		const parsed = Manifest.safeParse(JSON.parse(text));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

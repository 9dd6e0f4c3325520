import {Manifest} from './manifest.js';

/** Parses the value of the manifest in the store; returns `undefined` if it is not a valid manifest. */
export function parseManifest(text: string): Manifest | undefined {
	try {
		const parsed = Manifest.safeParse(JSON.parse(text));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

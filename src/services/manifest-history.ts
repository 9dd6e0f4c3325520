import {type Configuration} from '../config/configuration.js';
import {type Manifest} from '../config/manifest.js';
import {type ConfigPull} from '../contracts/config-pull.js';

/** Maximum number of manifests kept. Peers whose revision is among them receive only the changes. */
const maxManifests = 64;

/** Keeps the recent manifests of this host and builds the responses to pulls from them. */
export class ManifestHistory {
	readonly #manifests = new Map<number, Manifest>();

	add(manifest: Manifest): void {
		this.#manifests.set(manifest.revision, manifest);
		if (this.#manifests.size > maxManifests) {
			const [oldest] = this.#manifests.keys();
			this.#manifests.delete(oldest!);
		}
	}

	/**
	 * Returns the changes from `haveRevision` to the current configuration, or the whole configuration if that revision
	 * is not kept.
	 */
	changesSince(current: Configuration, haveRevision: number): ConfigPull {
		const {services, ...manifest} = current.manifest;
		const base = this.#manifests.get(haveRevision);
		const changed = base === undefined ? services : changesBetween(base, current.manifest);
		const bodies: Record<string, string> = {};
		for (const digest of [...Object.values(changed), base?.deployment === manifest.deployment ? '' : manifest.deployment]) {
			const body = current.bodies.get(digest);
			if (body !== undefined) {
				bodies[digest] = body;
			}
		}

		return {
			manifest, isPatch: base !== undefined, services: changed, bodies,
		};
	}
}

function changesBetween(base: Manifest, next: Manifest): Record<string, string> {
	const changed: Record<string, string> = {};
	for (const [name, digest] of Object.entries(next.services)) {
		if (base.services[name] !== digest) {
			changed[name] = digest;
		}
	}

	for (const name of Object.keys(base.services)) {
		if (next.services[name] === undefined) {
			changed[name] = '';
		}
	}

	return changed;
}

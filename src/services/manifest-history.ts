import {type Configuration} from '../config/configuration.js';
import {type Manifest} from '../config/manifest.js';
import {type ConfigPull} from '../contracts/config-pull.js';

/** Manifests remembered, so that a peer that is a little behind is sent only what changed. */
const maxRemembered = 64;

/** Recent manifests of one host; makes the answers to pulls. */
export class ManifestHistory {
	readonly #manifests = new Map<number, Manifest>();

	add(manifest: Manifest): void {
		this.#manifests.set(manifest.revision, manifest);
		if (this.#manifests.size > maxRemembered) {
			const [oldest] = this.#manifests.keys();
			this.#manifests.delete(oldest!);
		}
	}

	/** What a peer that has `haveRevision` needs for the configuration in force here. */
	answer(current: Configuration, haveRevision: number): ConfigPull {
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

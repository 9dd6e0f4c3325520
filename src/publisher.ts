import {randomBytes} from 'node:crypto';
import {type Manifest} from './config/manifest.js';
import {parseManifest} from './config/parse-manifest.js';
import {type Publication} from './config/publication.js';
import {type Store} from './contracts/store.js';
import {type Result} from './result.js';
import {digestText} from './services/digest-text.js';

type PublishError =
	| {readonly code: 'conflict'; readonly message: string; readonly published: Manifest}
	| {readonly code: 'store_failed'; readonly message: string}
	| {readonly code: 'store_unreadable'; readonly message: string};

/** Manifest in the store and the version of its key; the version is 0 if there is no manifest yet. */
type Head = {readonly manifest: Manifest | undefined; readonly version: number};
type Published = {readonly manifest: Manifest; readonly changes: readonly string[]};

const manifestKey = 'manifest';
/** Maximum number of attempts of a call to the store. */
const maxStoreAttempts = 5;
/** Delay after each failed call. */
const storeRetryDelayMs = 300;
/** Number of bodies written concurrently; the store accepts several hundred writes per second. */
const maxParallelWrites = 8;

/**
 * Publishes configurations: writes the bodies under their digests, then replaces the manifest by a compare-and-swap, so that
 * the publication takes effect atomically. If the response to the swap is lost, the publication id in the store shows whether
 * the swap took effect.
 */
export class Publisher {
	readonly #store: Store;
	readonly #author: string;

	constructor(store: Store, author: string) {
		this.#store = store;
		this.#author = author;
	}

	/** Reads the published manifest. */
	async head(): Promise<Result<Head, PublishError>> {
		const read = await this.#retry(async () => this.#store.get(manifestKey));
		if (!read.success) {
			return read;
		}

		if (read.data === undefined) {
			return {success: true, data: {manifest: undefined, version: 0}};
		}

		const manifest = parseManifest(read.data.value);
		return manifest === undefined
			? {success: false, error: {code: 'store_unreadable', message: 'the manifest in the store is invalid'}}
			: {success: true, data: {manifest, version: read.data.version}};
	}

	/** Publishes files as the revision after `head`. Fails with `conflict`, and leaves the manifest unchanged, if another publication was first. */
	async publish(publication: Publication, head: Head): Promise<Result<Published, PublishError>> {
		const deployment = JSON.stringify(publication.deployment);
		const services = Object.entries(publication.services).map(([name, file]) => ({name, text: JSON.stringify(file)}));
		const written = await this.#writeBodies([deployment, ...services.map(item => item.text)]);
		if (!written.success) {
			return written;
		}

		const next = this.#nextManifest(head, {
			deployment: digestText(deployment),
			services: Object.fromEntries(services.map(item => [item.name, digestText(item.text)])),
			drained: head.manifest?.drained ?? [],
		});
		return this.#swap(next, head);
	}

	/** Publishes a new list of drained places as the revision after `head`. */
	async setDrained(drained: readonly string[], head: Head): Promise<Result<Published, PublishError>> {
		if (head.manifest === undefined) {
			return {success: false, error: {code: 'store_unreadable', message: 'nothing has been published yet'}};
		}

		const {deployment, services} = head.manifest;
		return this.#swap(this.#nextManifest(head, {deployment, services, drained: [...drained]}), head);
	}

	#nextManifest(head: Head, content: Pick<Manifest, 'deployment' | 'services' | 'drained'>): Manifest {
		return {
			revision: (head.manifest?.revision ?? 0) + 1,
			publicationId: randomBytes(12).toString('hex'),
			author: this.#author,
			publishedAtMs: Date.now(),
			...content,
		};
	}

	async #swap(next: Manifest, head: Head): Promise<Result<Published, PublishError>> {
		const swap = await this.#store.put(manifestKey, JSON.stringify(next), head.version);
		if (swap.success && swap.data.isSwapped) {
			return {success: true, data: {manifest: next, changes: describeChanges(head.manifest, next)}};
		}

		if (!swap.success && swap.error.code !== 'lost_answer') {
			return {success: false, error: {code: 'store_failed', message: swap.error.message}};
		}

		return this.#resolveSwap(next, head);
	}

	/** Determines from the manifest in the store whether a swap took effect that was refused or whose response was lost. */
	async #resolveSwap(next: Manifest, head: Head): Promise<Result<Published, PublishError>> {
		const current = await this.head();
		if (!current.success) {
			return {success: false, error: {code: 'store_failed', message: `unknown whether revision ${next.revision} was published: ${current.error.message}`}};
		}

		if (current.data.manifest?.publicationId === next.publicationId) {
			return {success: true, data: {manifest: next, changes: describeChanges(head.manifest, next)}};
		}

		if (current.data.manifest === undefined || current.data.version === head.version) {
			return {success: false, error: {code: 'store_failed', message: 'the store did not accept the publication'}};
		}

		const published = current.data.manifest;
		const message = `${describeManifest(next)} was not published: ${describeManifest(published)} was published first`;
		return {success: false, error: {code: 'conflict', message, published}};
	}

	async #writeBodies(texts: readonly string[]): Promise<Result<undefined, PublishError>> {
		const pendingTexts = [...texts];
		let failure: PublishError | undefined;
		const writePending = async () => {
			for (let text = pendingTexts.pop(); text !== undefined && failure === undefined; text = pendingTexts.pop()) {
				const written = await this.#writeBody(text);
				if (!written.success) {
					failure = written.error;
				}
			}
		};

		await Promise.all(Array.from({length: maxParallelWrites}, writePending));
		return failure === undefined ? {success: true, data: undefined} : {success: false, error: failure};
	}

	/** Writes a body unless it exists. Bodies are immutable, so after a lost response it is enough to find the body in the store. */
	async #writeBody(text: string): Promise<Result<undefined, PublishError>> {
		const key = `body/${digestText(text)}`;
		const written = await this.#retry<unknown>(async () => {
			const put = await this.#store.put(key, text, 0);
			if (put.success || put.error.code !== 'lost_answer') {
				return put;
			}

			const read = await this.#store.get(key);
			return read.success && read.data !== undefined ? read : put;
		});
		return written.success ? {success: true, data: undefined} : written;
	}

	async #retry<T>(call: () => Promise<Result<T, {readonly code: string; readonly message: string}>>): Promise<Result<T, PublishError>> {
		let message = '';
		for (let attempts = 0; attempts < maxStoreAttempts; attempts++) {
			const result = await call();
			if (result.success) {
				return result;
			}

			message = result.error.message;
			await new Promise(resolve => {
				setTimeout(resolve, storeRetryDelayMs);
			});
		}

		return {success: false, error: {code: 'store_failed', message}};
	}
}

function describeManifest(manifest: Manifest): string {
	return `revision ${manifest.revision} (${manifest.publicationId}, by ${manifest.author})`;
}

/** Returns one line of text for each difference between two manifests. */
function describeChanges(from: Manifest | undefined, to: Manifest): string[] {
	const changes: string[] = [];
	for (const [name, digest] of Object.entries(to.services)) {
		const before = from?.services[name];
		if (before !== digest) {
			changes.push(before === undefined ? `+ service ${name}` : `~ service ${name}`);
		}
	}

	for (const name of Object.keys(from?.services ?? {})) {
		if (to.services[name] === undefined) {
			changes.push(`- service ${name}`);
		}
	}

	if (from?.deployment !== to.deployment) {
		changes.push(from === undefined ? '+ deployment' : '~ deployment');
	}

	const before = new Set(from?.drained);
	const after = new Set(to.drained);
	return [
		...changes,
		...to.drained.filter(item => !before.has(item)).map(item => `+ drained ${item}`),
		...(from?.drained ?? []).filter(item => !after.has(item)).map(item => `- drained ${item}`),
	];
}

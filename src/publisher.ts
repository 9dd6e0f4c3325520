import {randomBytes} from 'node:crypto';
import {type Manifest} from './config/manifest.js';
import {parseManifest} from './config/parse-manifest.js';
import {type Publication} from './config/publication.js';
import {type Store} from './contracts/store.js';
import {type Result} from './result.js';
import {digestText} from './services/digest-text.js';

type PublishError =
	| {readonly code: 'conflict'; readonly message: string; readonly theirs: Manifest}
	| {readonly code: 'store_failed'; readonly message: string}
	| {readonly code: 'store_unreadable'; readonly message: string};

/** The manifest in the store and its version there; version 0 stands for none yet. */
type Head = {readonly manifest: Manifest | undefined; readonly version: number};
type Published = {readonly manifest: Manifest; readonly changes: readonly string[]};

const manifestKey = 'manifest';
/** Tries of a call to the store, and the pause between them in milliseconds. */
const storeTries = 5;
const storePauseMs = 300;
/** Bodies written at once; the store takes several hundred writes a second. */
const parallelWrites = 8;

/**
 * Puts configurations into force: writes the bodies by digest, then swaps the manifest, which is the one atomic step.
 * When the answer to the swap is lost, the publication's id in the store tells whether it took effect.
 */
export class Publisher {
	readonly #store: Store;
	readonly #author: string;

	constructor(store: Store, author: string) {
		this.#store = store;
		this.#author = author;
	}

	/** Reads the manifest in force. */
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
			? {success: false, error: {code: 'store_unreadable', message: 'the manifest in the store cannot be read'}}
			: {success: true, data: {manifest, version: read.data.version}};
	}

	/** Publishes files on top of `head`; a publication that came in between is a conflict and nothing is changed. */
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

	/** Publishes a change of the list of drained places on top of `head`. */
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

		return this.#settle(next, head);
	}

	/** Reads back what the store holds after a swap that failed or whose answer was lost. */
	async #settle(next: Manifest, head: Head): Promise<Result<Published, PublishError>> {
		const now = await this.head();
		if (!now.success) {
			return {success: false, error: {code: 'store_failed', message: `it is not known whether revision ${next.revision} was published: ${now.error.message}`}};
		}

		if (now.data.manifest?.publicationId === next.publicationId) {
			return {success: true, data: {manifest: next, changes: describeChanges(head.manifest, next)}};
		}

		if (now.data.manifest === undefined || now.data.version === head.version) {
			return {success: false, error: {code: 'store_failed', message: 'the store did not take the publication'}};
		}

		const theirs = now.data.manifest;
		const message = `your ${nameOf(next)} was not published: ${nameOf(theirs)} came first`;
		return {success: false, error: {code: 'conflict', message, theirs}};
	}

	async #writeBodies(texts: readonly string[]): Promise<Result<undefined, PublishError>> {
		const waiting = [...texts];
		let failure: PublishError | undefined;
		const work = async () => {
			for (let text = waiting.pop(); text !== undefined && failure === undefined; text = waiting.pop()) {
				const written = await this.#writeBody(text);
				if (!written.success) {
					failure = written.error;
				}
			}
		};

		await Promise.all(Array.from({length: parallelWrites}, work));
		return failure === undefined ? {success: true, data: undefined} : {success: false, error: failure};
	}

	/** Bodies never change, so one that is there already needs no writing, and a lost answer is asked for again. */
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
		for (let tries = 0; tries < storeTries; tries++) {
			const result = await call();
			if (result.success) {
				return result;
			}

			message = result.error.message;
			await new Promise(resolve => {
				setTimeout(resolve, storePauseMs);
			});
		}

		return {success: false, error: {code: 'store_failed', message}};
	}
}

function nameOf(manifest: Manifest): string {
	return `revision ${manifest.revision} (${manifest.publicationId}, by ${manifest.author})`;
}

/** Reads the configuration's changes for people. */
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

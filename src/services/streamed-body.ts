import {fingerprintKinds} from '../decisions/fingerprint-kinds.js';
import {pause} from './pause.js';
import {RequestDigest} from './request-digest.js';

type StreamedBodyOptions = {
	readonly head: ConstructorParameters<typeof RequestDigest>[0];
	/** Digest of the request with the beginning of the body only. */
	readonly beginning: string;
	readonly source: AsyncIterable<Uint8Array>;
	/** Whether the last part is withheld until `mayEnd` has allowed the whole request. */
	readonly isSuspect: boolean;
	readonly mayEnd: (fingerprint: string) => boolean;
};

/** Request body that is too long to be held. It is passed on while it arrives, and identified by all of its bytes once it has. */
export class StreamedBody implements AsyncIterable<Uint8Array> {
	readonly #options: StreamedBodyOptions;
	readonly #source: AsyncIterator<Uint8Array, unknown>;
	readonly #digest: RequestDigest;
	#fingerprint: string | undefined;
	#isPassedOn = false;
	#isWithheld = false;
	#hasFailed = false;

	constructor(options: StreamedBodyOptions) {
		this.#options = options;
		this.#source = options.source[Symbol.asyncIterator]();
		this.#digest = new RequestDigest(options.head);
	}

	get content(): AsyncIterable<Uint8Array> {
		return this;
	}

	get isStreamed(): true {
		return true;
	}

	/** Fingerprint of the request; that of all unfinished ones which begin alike until the end of the body is known. */
	get fingerprint(): string {
		return this.#fingerprint ?? fingerprintKinds.mark('unfinished', this.#options.beginning);
	}

	/** Fingerprints under which the loss of an instance is reported; none if the body itself was broken off. */
	get crashFingerprints(): readonly string[] {
		if (this.#hasFailed || this.#isWithheld) {
			return [];
		}

		const unfinished = this.#isPassedOn ? [] : [fingerprintKinds.mark('unfinished', this.#options.beginning)];
		return [...new Set([this.fingerprint, ...unfinished, fingerprintKinds.mark('beginning', this.#options.beginning)])];
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<Uint8Array, void> {
		const {isSuspect, mayEnd} = this.#options;
		let held: Uint8Array | undefined;
		for (let part = await this.#next(); part !== undefined; part = await this.#next()) {
			if (!isSuspect) {
				yield part;
				continue;
			}

			if (held !== undefined) {
				yield held;
			}

			held = part;
		}

		if (held !== undefined) {
			if (!mayEnd(this.fingerprint)) {
				this.#isWithheld = true;
				throw new Error('the end of the request is withheld, since instances were lost while they ran it');
			}

			yield held;
		}

		this.#isPassedOn = true;
	}

	/** Reads what has not been passed on, so that the fingerprint is known, for `limitMs` milliseconds at most. */
	async readToEnd(limitMs: number): Promise<void> {
		const abort = new AbortController();
		await Promise.race([this.#readRest(abort.signal), pause(Math.max(0, limitMs), abort.signal)]);
		abort.abort();
	}

	async #readRest(signal: AbortSignal): Promise<void> {
		try {
			while (!signal.aborted && this.#fingerprint === undefined && !this.#hasFailed) {
				await this.#next();
			}
		} catch {
			// The client has broken the request off, so that it has no fingerprint; `hasFailed` states it.
		}
	}

	async #next(): Promise<Uint8Array | undefined> {
		let next: IteratorResult<Uint8Array, unknown>;
		try {
			next = await this.#source.next();
		} catch (err) {
			this.#hasFailed = true;
			throw err;
		}

		if (next.done === true) {
			this.#fingerprint ??= this.#digest.value();
			return undefined;
		}

		this.#digest.update(next.value);
		return next.value;
	}
}

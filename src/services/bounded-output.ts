import {Writable} from 'node:stream';

type OutputOptions = {
	readonly to: Writable;
	/** Bytes that may wait to be written. */
	readonly maxWaitingBytes: number;
	/** Makes the line that tells how many lines were left out. */
	readonly describeLeftOut: (lines: number) => string;
	/** Hears that the output failed; what comes later is dropped. */
	readonly onFailed: (err: Error) => void;
};

/**
 * Writes lines without ever waiting for the reader: once too much waits, lines are left out, and counted in a line of their
 * own as soon as there is room again.
 */
export class BoundedOutput extends Writable {
	readonly #options: OutputOptions;
	#leftOut = 0;
	#hasFailed = false;

	constructor(options: OutputOptions) {
		super({decodeStrings: false});
		this.#options = options;
		options.to.on('error', err => {
			if (!this.#hasFailed) {
				this.#hasFailed = true;
				options.onFailed(err);
			}
		});
	}

	/** Waits until what was taken in is written, but no longer than a time in milliseconds. */
	async flush(timeoutMs: number): Promise<void> {
		const {to} = this.#options;
		if (to.writableLength === 0 || this.#hasFailed) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, timeoutMs);
			// Writes end in order: an empty one ends after all before it.
			to.write('', () => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	override _write(line: string, _encoding: BufferEncoding, done: () => void): void {
		const {to, maxWaitingBytes, describeLeftOut} = this.#options;
		if (this.#hasFailed || to.writableLength > maxWaitingBytes) {
			this.#leftOut++;
		} else {
			const note = this.#leftOut === 0 ? '' : describeLeftOut(this.#leftOut);
			this.#leftOut = 0;
			to.write(note + line);
		}

		done();
	}
}

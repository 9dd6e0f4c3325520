import {Writable} from 'node:stream';

type OutputOptions = {
	readonly destination: Writable;
	/** Limit of bytes that are buffered for writing. */
	readonly maxBufferedBytes: number;
	/** Returns the line that reports how many lines were dropped. */
	readonly describeDropped: (lines: number) => string;
	/** Called once when the destination fails; all later lines are dropped. */
	readonly onFailed: (err: Error) => void;
};

/**
 * Writes lines without blocking on a slow reader. While too many bytes are buffered, lines are dropped; the next line that
 * is written is preceded by one that states how many were dropped.
 */
export class BoundedOutput extends Writable {
	readonly #options: OutputOptions;
	#droppedLines = 0;
	#hasFailed = false;

	constructor(options: OutputOptions) {
		super({decodeStrings: false});
		this.#options = options;
		options.destination.on('error', err => {
			if (!this.#hasFailed) {
				this.#hasFailed = true;
				options.onFailed(err);
			}
		});
	}

	/** Waits until all accepted lines are written, for at most `timeoutMs`. */
	async flush(timeoutMs: number): Promise<void> {
		const {destination} = this.#options;
		if (destination.writableLength === 0 || this.#hasFailed) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, timeoutMs);
			// Writes complete in order, so an empty one completes after all earlier ones.
			destination.write('', () => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	override _write(line: string, _encoding: BufferEncoding, done: () => void): void {
		const {destination, maxBufferedBytes, describeDropped} = this.#options;
		if (this.#hasFailed || destination.writableLength > maxBufferedBytes) {
			this.#droppedLines++;
		} else {
			const note = this.#droppedLines === 0 ? '' : describeDropped(this.#droppedLines);
			this.#droppedLines = 0;
			destination.write(note + line);
		}

		done();
	}
}

import process from 'node:process';

/** Writes the result of a command as text or as one line of JSON. */
export class Output {
	readonly #isJson: boolean;

	constructor(isJson: boolean) {
		this.#isJson = isJson;
	}

	/** Writes `data` as JSON, or `lines` as text. */
	write(data: unknown, lines: readonly string[]): void {
		const text = this.#isJson ? JSON.stringify(data) : lines.join('\n');
		process.stdout.write(`${text}\n`);
	}

	/** Writes a line of progress to standard error; writes nothing if the output is JSON. */
	progress(line: string): void {
		if (!this.#isJson) {
			process.stderr.write(`${line}\n`);
		}
	}

	/** Writes an error: JSON to standard output, text to standard error. */
	fail(code: string, message: string): void {
		if (this.#isJson) {
			process.stdout.write(`${JSON.stringify({success: false, code, message})}\n`);
		} else {
			process.stderr.write(`${code}: ${message}\n`);
		}
	}
}

import process from 'node:process';

/** Writes a command's result: text for people, or one JSON line. */
export class Output {
	readonly #isJson: boolean;

	constructor(isJson: boolean) {
		this.#isJson = isJson;
	}

	/** Writes the result in the chosen form. */
	write(data: unknown, lines: readonly string[]): void {
		const text = this.#isJson ? JSON.stringify(data) : lines.join('\n');
		process.stdout.write(`${text}\n`);
	}

	/** Tells progress on standard error, unless JSON was asked for. */
	progress(line: string): void {
		if (!this.#isJson) {
			process.stderr.write(`${line}\n`);
		}
	}

	/** Writes an error. */
	fail(code: string, message: string): void {
		if (this.#isJson) {
			process.stdout.write(`${JSON.stringify({success: false, code, message})}\n`);
		} else {
			process.stderr.write(`${code}: ${message}\n`);
		}
	}
}

import {Writable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {BoundedOutput} from './bounded-output.js';

/** Writable that completes no write until it is released. */
class StalledReader extends Writable {
	readonly written: string[] = [];
	readonly #pendingWrites: Array<() => void> = [];
	#isStalled = true;

	constructor() {
		super({decodeStrings: false});
	}

	release(): void {
		this.#isStalled = false;
		for (const done of this.#pendingWrites.splice(0)) {
			done();
		}
	}

	override _write(text: string, _encoding: string, done: () => void): void {
		this.written.push(text);
		if (this.#isStalled) {
			this.#pendingWrites.push(done);
		} else {
			done();
		}
	}
}

const line = `${'x'.repeat(99)}\n`;

function outputTo(to: Writable, onFailed: (err: Error) => void = () => undefined): BoundedOutput {
	return new BoundedOutput({
		destination: to, maxBufferedBytes: 1000, describeDropped: lines => `left out ${lines}\n`, onFailed,
	});
}

describe('bounded output', () => {
	it('buffers a bounded number of bytes while the reader is stalled and reports afterwards how many lines were dropped', async () => {
		const reader = new StalledReader();
		const output = outputTo(reader);
		for (let index = 0; index < 100; index++) {
			output.write(line);
		}

		expect(output.writableLength).toBe(0);
		expect(reader.writableLength).toBeLessThanOrEqual(1000 + line.length);
		reader.release();
		await output.flush(1000);
		output.write('last\n');
		await output.flush(1000);
		const writtenCount = reader.written.filter(text => text === line).length;
		expect(reader.written.at(-1)).toBe(`left out ${100 - writtenCount}\nlast\n`);
		expect(writtenCount).toBeGreaterThanOrEqual(10);
	});

	it('ends a flush at its timeout while the reader is stalled', async () => {
		const output = outputTo(new StalledReader());
		output.write(line);
		await expect(output.flush(20)).resolves.toBeUndefined();
	});

	it('reports a failed destination once and drops later lines', async () => {
		const failures: string[] = [];
		const reader = new Writable({
			write(_text, _encoding, done) {
				done(new Error('closed'));
			},
		});
		const output = outputTo(reader, err => failures.push(err.message));
		output.write(line);
		await new Promise(setImmediate);
		output.write(line);
		await output.flush(1000);
		expect(failures).toEqual(['closed']);
	});
});

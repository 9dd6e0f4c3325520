import {Writable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {BoundedOutput} from './bounded-output.js';

/** A reader that takes nothing until it is released. */
class StalledReader extends Writable {
	readonly taken: string[] = [];
	readonly #release: Array<() => void> = [];
	#isStalled = true;

	constructor() {
		super({decodeStrings: false});
	}

	release(): void {
		this.#isStalled = false;
		for (const done of this.#release.splice(0)) {
			done();
		}
	}

	override _write(text: string, _encoding: string, done: () => void): void {
		this.taken.push(text);
		if (this.#isStalled) {
			this.#release.push(done);
		} else {
			done();
		}
	}
}

const line = `${'x'.repeat(99)}\n`;

function outputTo(to: Writable, onFailed: (err: Error) => void = () => undefined): BoundedOutput {
	return new BoundedOutput({
		to, maxWaitingBytes: 1000, describeLeftOut: lines => `left out ${lines}\n`, onFailed,
	});
}

describe('bounded output', () => {
	it('keeps a bounded part while nobody reads, and tells afterwards how many lines were left out', async () => {
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
		const whole = reader.taken.filter(text => text === line).length;
		expect(reader.taken.at(-1)).toBe(`left out ${100 - whole}\nlast\n`);
		expect(whole).toBeGreaterThanOrEqual(10);
	});

	it('ends a flush after its time although nobody reads', async () => {
		const output = outputTo(new StalledReader());
		output.write(line);
		await expect(output.flush(20)).resolves.toBeUndefined();
	});

	it('tells once that the far end is gone, and goes on without it', async () => {
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

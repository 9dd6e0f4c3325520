import {performance} from 'node:perf_hooks';
import process from 'node:process';
import winston from 'winston';
import {openStandardOutput} from '../adapters/open-standard-output.js';
import {LineBudget} from '../decisions/line-budget.js';
import {BoundedOutput} from './bounded-output.js';

/** Lines of one message about single requests. */
const requestLines = {linesPerSecond: 20, linesAtOnce: 60};

/** Bytes of lines that may wait while nobody reads standard output. */
const maxWaitingBytes = 1_048_576;
/** Time at the end of a process for lines that are still to be written, in milliseconds: within what a stop leaves of the grace time. */
const flushMs = 200;

/** Structured log: one JSON object a line on standard output, which never blocks the process. */
export class Logger {
	readonly #inner: winston.Logger;
	readonly #output: BoundedOutput;
	readonly #budget = new LineBudget(requestLines);

	/** `fields` stand on every line. */
	constructor(level: string, fields: Readonly<Record<string, string>>) {
		this.#output = new BoundedOutput({
			to: openStandardOutput(),
			maxWaitingBytes,
			describeLeftOut: lines => `${JSON.stringify({
				...fields, level: 'warn', message: 'nobody read the log in time; lines were left out', lines, timestamp: new Date().toISOString(),
			})}\n`,
			onFailed(err) {
				process.stderr.write(`standard output failed; nothing more is logged: ${err.message}\n`);
			},
		});
		this.#inner = winston.createLogger({
			level,
			defaultMeta: fields,
			format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
			transports: [new winston.transports.Stream({stream: this.#output})],
		});
	}

	/** Waits until all lines are written, but not for a reader that has stopped. */
	async flush(): Promise<void> {
		return this.#output.flush(flushMs);
	}

	debug(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.debug(message, fields);
	}

	info(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.info(message, fields);
	}

	/** Logs a line about one request; those of a message that come too often are left out, and counted in its next line. */
	request(message: string, fields: Readonly<Record<string, unknown>>): void {
		const leftOut = this.#budget.take(message, performance.now());
		if (leftOut !== undefined) {
			this.#inner.info(message, leftOut === 0 ? fields : {...fields, leftOut});
		}
	}

	warn(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.warn(message, fields);
	}

	error(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.error(message, fields);
	}
}

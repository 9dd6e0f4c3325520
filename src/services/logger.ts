import {performance} from 'node:perf_hooks';
import process from 'node:process';
import winston from 'winston';
import {openStandardOutput} from '../adapters/open-standard-output.js';
import {LogRateLimiter} from '../decisions/log-rate-limiter.js';
import {BoundedOutput} from './bounded-output.js';

/** Rate limit for frequent log lines, applied to each message separately. */
const frequentLineLimits = {linesPerSecond: 20, burstLines: 60};

/** Limit of bytes that are buffered while standard output is not read. */
const maxBufferedBytes = 1_048_576;
/** Timeout for writing the remaining lines when the process ends; it fits into the part of the grace time that a planned stop leaves free. */
const flushTimeoutMs = 200;

/** Writes a structured log, one JSON object per line, to standard output without ever blocking the process. */
export class Logger {
	readonly #inner: winston.Logger;
	readonly #output: BoundedOutput;
	readonly #rateLimiter = new LogRateLimiter(frequentLineLimits);

	/** Creates a logger whose lines all contain `fields`. */
	constructor(level: string, fields: Readonly<Record<string, string>>) {
		this.#output = new BoundedOutput({
			destination: openStandardOutput(),
			maxBufferedBytes,
			describeDropped: lines => `${JSON.stringify({
				...fields, level: 'warn', message: 'nobody read the log in time; lines were left out', lines, timestamp: new Date().toISOString(),
			})}\n`,
			onFailed(err) {
				process.stderr.write(`writing to standard output failed, so nothing more is logged: ${err.message}\n`);
			},
		});
		this.#inner = winston.createLogger({
			level,
			defaultMeta: fields,
			format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
			transports: [new winston.transports.Stream({stream: this.#output})],
		});
	}

	/** Waits until all lines are written, for a bounded time if standard output is not read. */
	async flush(): Promise<void> {
		return this.#output.flush(flushTimeoutMs);
	}

	debug(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.debug(message, fields);
	}

	info(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.info(message, fields);
	}

	/** Logs a line that may be frequent, such as one about a single request. Lines above the message's rate limit are dropped and counted in its next line (`leftOut`). */
	limited(message: string, fields: Readonly<Record<string, unknown>>, level: 'info' | 'warn' | 'error' = 'info'): void {
		const leftOut = this.#rateLimiter.admit(message, performance.now());
		if (leftOut !== undefined) {
			this.#inner.log(level, message, leftOut === 0 ? fields : {...fields, leftOut});
		}
	}

	warn(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.warn(message, fields);
	}

	error(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.error(message, fields);
	}
}

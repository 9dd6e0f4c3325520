import {performance} from 'node:perf_hooks';
import process from 'node:process';
import winston from 'winston';
import {LineBudget} from '../decisions/line-budget.js';

/** Lines of one message about single requests. */
const requestLines = {linesPerSecond: 20, linesAtOnce: 60};

/** Structured log: one JSON object a line on standard output. */
export class Logger {
	readonly #inner: winston.Logger;
	readonly #budget = new LineBudget(requestLines);

	/** `fields` stand on every line. */
	constructor(level: string, fields: Readonly<Record<string, string>>) {
		this.#inner = winston.createLogger({
			level,
			defaultMeta: fields,
			format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
			transports: [new winston.transports.Stream({stream: process.stdout})],
		});
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

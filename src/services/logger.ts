import process from 'node:process';
import winston from 'winston';

/** Structured log: one JSON object a line on standard error. */
export class Logger {
	readonly #inner: winston.Logger;

	/** `fields` stand on every line. */
	constructor(level: string, fields: Readonly<Record<string, string>>) {
		this.#inner = winston.createLogger({
			level,
			defaultMeta: fields,
			format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
			transports: [new winston.transports.Stream({stream: process.stderr})],
		});
	}

	debug(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.debug(message, fields);
	}

	info(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.info(message, fields);
	}

	warn(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.warn(message, fields);
	}

	error(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#inner.error(message, fields);
	}
}

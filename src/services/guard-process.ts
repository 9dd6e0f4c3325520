import {type Clock} from '../contracts/clock.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';

type GuardOptions = {
	/** The process itself. */
	readonly process: {readonly on: (event: 'uncaughtException' | 'unhandledRejection', listener: (err: unknown) => void) => unknown};
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'limited'>;
	readonly metrics: Pick<Metrics, 'count'>;
	/** Called when errors recur too often; ends the process. */
	readonly onRecurring: () => void;
};

/** Number of uncaught errors within the period from which the state of the process is not to be trusted. */
const maxErrors = 20;
const periodMs = 10_000;

/** Keeps a process in service after an error that nothing caught, such as one while a single message was handled, with a log line each. */
export function guardProcess({
	process, clock, logger, metrics, onRecurring,
}: GuardOptions): void {
	const errorsMs: number[] = [];
	for (const event of ['uncaughtException', 'unhandledRejection'] as const) {
		process.on(event, (err: unknown) => {
			const nowMs = clock.nowMs();
			metrics.count('uncaught_errors', {event});
			logger.limited('an error was not caught; the process stays in service', {event, err: err instanceof Error ? err.stack ?? err.message : String(err)}, 'error');
			errorsMs.push(nowMs);
			if (errorsMs.length > maxErrors && nowMs - errorsMs.shift()! < periodMs) {
				onRecurring();
			}
		});
	}
}

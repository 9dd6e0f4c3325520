import process from 'node:process';
import {type Clock} from '../contracts/clock.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';

type LoopMonitorOptions = {readonly clock: Clock; readonly logger: Logger; readonly metrics: Metrics};

const checkIntervalMs = 250;
/** Delay from which a line is logged; a pull from a peer counts as failed after 600 ms. */
const minLoggedDelayMs = 300;

/** Measures how late the event loop runs its timers. The processor time in the log line tells a busy process from one that did not run. */
export class LoopMonitor {
	readonly #options: LoopMonitorOptions;
	#dueMs = 0;
	#usage = process.cpuUsage();

	constructor(options: LoopMonitorOptions) {
		this.#options = options;
	}

	start(lifecycle: Lifecycle): void {
		this.#dueMs = this.#options.clock.nowMs() + checkIntervalMs;
		lifecycle.every('loop check', checkIntervalMs, () => {
			this.#check();
		});
	}

	#check(): void {
		const {clock, logger, metrics} = this.#options;
		const nowMs = clock.nowMs();
		const delayMs = Math.max(0, nowMs - this.#dueMs);
		const {user, system} = process.cpuUsage(this.#usage);
		metrics.observe('loop_delay_seconds', {}, delayMs);
		if (delayMs >= minLoggedDelayMs) {
			logger.info('the event loop ran late', {delayMs: Math.round(delayMs), processorMs: Math.round((user + system) / 1000)});
		}

		this.#dueMs = nowMs + checkIntervalMs;
		this.#usage = process.cpuUsage();
	}
}

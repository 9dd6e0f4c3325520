import {performance, type EventLoopUtilization} from 'node:perf_hooks';
import {type Clock} from '../contracts/clock.js';
import {BusyLevel} from '../decisions/busy-level.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';

type HostLoadOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'limited'>;
	readonly metrics: Pick<Metrics, 'gauge'>;
	readonly members: Pick<MembersService, 'run'> & {readonly membership: Pick<MembersService['membership'], 'setBusyLevel'>};
	/** Returns the number of open connections to clients and instances. */
	readonly countConnections: () => number;
	/** Limit of open descriptors of the host; without it, the host's size is unknown to the others and its load is not announced. */
	readonly maxDescriptors: number | undefined;
	/** Returns how long the event loop has been busy and idle so far. */
	readonly loopUtilization?: () => EventLoopUtilization;
};

const sampleIntervalMs = 1000;
/** Descriptors that the platform reserves for files. */
const reservedDescriptors = 200;

/** Announces to the region how busy this host is: by its event loop or by its connections, whichever is nearer to its limit. */
export class HostLoadMonitor {
	readonly #options: HostLoadOptions;
	readonly #busyLevel = new BusyLevel();
	readonly #loopUtilization: () => EventLoopUtilization;
	#lastUtilization: EventLoopUtilization;
	#level = 0;

	constructor(options: HostLoadOptions) {
		this.#options = options;
		this.#loopUtilization = options.loopUtilization ?? (() => performance.eventLoopUtilization());
		this.#lastUtilization = this.#loopUtilization();
	}

	start(lifecycle: Pick<Lifecycle, 'every'>): void {
		const {metrics, maxDescriptors} = this.#options;
		if (maxDescriptors === undefined) {
			return;
		}

		metrics.gauge('host_load', () => Math.round(this.#busyLevel.meanLoad * 100) / 100);
		metrics.gauge('host_busy_level', () => this.#level);
		lifecycle.every('load of the host', sampleIntervalMs, () => {
			this.#sample(maxDescriptors);
		});
	}

	#sample(maxDescriptors: number): void {
		const {clock, members, countConnections, logger} = this.#options;
		const utilization = this.#loopUtilization();
		const loopLoad = performance.eventLoopUtilization(utilization, this.#lastUtilization).utilization;
		this.#lastUtilization = utilization;
		const connections = countConnections();
		const connectionLoad = Math.min(1, connections / Math.max(1, maxDescriptors - reservedDescriptors));
		const level = this.#busyLevel.update(Math.max(loopLoad, connectionLoad), clock.nowMs());
		if (level === this.#level) {
			return;
		}

		this.#level = level;
		logger.limited('this host announces how busy it is', {
			busyLevel: level, meanLoad: Math.round(this.#busyLevel.meanLoad * 100) / 100, loopLoad: Math.round(loopLoad * 100) / 100, connections,
		});
		members.run(members.membership.setBusyLevel(level));
	}
}

import {type Clock} from '../contracts/clock.js';
import {type HttpDialect} from '../contracts/http-dialect.js';
import {type LiveInstance} from '../contracts/live-instance.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';

type NoticeRecorderOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'limited'>;
	readonly metrics: Pick<Metrics, 'count'>;
	readonly instances: InstanceTable;
};

/** Records what instances state about themselves: that they are leaving, or that they want no requests for some time. */
export class NoticeRecorder {
	readonly #options: NoticeRecorderOptions;

	constructor(options: NoticeRecorderOptions) {
		this.#options = options;
	}

	/** Records the statements in the head of a response to a request that was sent to `instance`. */
	recordHead(instance: LiveInstance, info: ReturnType<HttpDialect['readResponse']>): void {
		const {instances, clock, logger, metrics} = this.#options;
		if (info.isLeaving) {
			this.recordLeaving(instance, 'response');
			const responder = info.instanceId === undefined ? undefined : instances.get(info.instanceId)?.instance;
			if (responder?.address === instance.address) {
				this.recordLeaving(responder, 'response');
			}
		}

		if (info.pauseMs !== undefined) {
			instances.notices.recordPause(instance, info.pauseMs, clock.nowMs());
			metrics.count('instance_pauses', {service: instance.service});
			logger.limited('an instance asked for a pause', {instance: instance.id, service: instance.service, pauseMs: Math.round(info.pauseMs)});
		}
	}

	/** Records that a process of an instance is leaving; `source` is `response`, `planner`, or the host that reported it. */
	recordLeaving(process: Pick<LiveInstance, 'id' | 'born' | 'address'>, source: string): void {
		const {instances, logger} = this.#options;
		if (instances.notices.recordLeaving(process)) {
			logger.info('an instance is leaving', {instance: process.id, address: process.address, source});
		}
	}
}

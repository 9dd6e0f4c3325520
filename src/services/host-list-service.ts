import {type HostList} from '../contracts/host-list.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {pause} from './pause.js';
import {type SteeringService} from './steering-service.js';

type HostListOptions = {
	readonly store: PrefixStore;
	readonly steering: SteeringService;
	readonly logger: Logger;
	/** Store key of this host's entry. */
	readonly key: string;
	/** Stored value of this host's entry. */
	readonly value: string;
};

/** Time for which an entry remains after its host has failed. The list is only a hint, so a long lease that needs few renewals is sufficient. */
const leaseMs = 60_000;
const renewMs = 20_000;
/** Bounds of the exponential backoff between attempts to write the entry. */
const initialBackoffMs = 500;
const maxBackoffMs = 5000;

/** Maintains this host's leased entry in the store, and lists all such entries, which are addresses of possibly running daemons. */
export class HostListService implements HostList {
	readonly #options: HostListOptions;
	#leaseId: number | undefined;
	#isClosed = false;

	constructor(options: HostListOptions) {
		this.#options = options;
	}

	start(lifecycle: Lifecycle): void {
		lifecycle.every('lease of the host entry', renewMs, () => {
			void this.#renewLease();
		});
		lifecycle.addCleanup('host entry', async () => this.#deregister());
		void this.#register();
	}

	async fetch(): ReturnType<HostList['fetch']> {
		return {success: true, data: [...this.#options.steering.hosts.values()]};
	}

	async #register(): Promise<void> {
		const {store, logger, key, value} = this.#options;
		let backoffMs = initialBackoffMs;
		while (!this.#isClosed) {
			const lease = await store.openLease(leaseMs);
			const written = lease.success ? await store.putLeased(key, value, lease.data.leaseId) : lease;
			if (lease.success && written.success) {
				this.#leaseId = lease.data.leaseId;
				return;
			}

			logger.debug('writing the store entry of this host failed; it will be retried', {err: written.success ? '' : written.error.message});
			await pause(backoffMs);
			backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
		}
	}

	async #renewLease(): Promise<void> {
		if (this.#leaseId === undefined) {
			return;
		}

		const renewed = await this.#options.store.renewLease(this.#leaseId);
		if (!renewed.success && renewed.error.code === 'no_lease') {
			this.#options.logger.info('the lease of the host entry has expired; opening a new one');
			this.#leaseId = undefined;
			await this.#register();
		}
	}

	async #deregister(): Promise<void> {
		this.#isClosed = true;
		if (this.#leaseId !== undefined) {
			await this.#options.store.endLease(this.#leaseId);
		}
	}
}

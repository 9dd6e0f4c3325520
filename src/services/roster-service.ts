import {type HostList} from '../contracts/host-list.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {pause} from './pause.js';
import {type SteeringService} from './steering-service.js';

type RosterOptions = {
	readonly store: PrefixStore;
	readonly steering: SteeringService;
	readonly logger: Logger;
	/** Key of this host's entry. */
	readonly key: string;
	/** Value of this host's entry. */
	readonly value: string;
};

/** Time for which an entry outlives its host, in milliseconds; the list is a hint, so it may be long and costs few calls. */
const leaseMs = 60_000;
const renewMs = 20_000;
/** Pauses between tries to write the entry, in milliseconds. */
const firstRetryMs = 500;
const longestRetryMs = 5000;

/** This host's leased entry in the store, and the list of all such entries: where daemons may be found. */
export class RosterService implements HostList {
	readonly #options: RosterOptions;
	#leaseId: number | undefined;
	#isClosed = false;

	constructor(options: RosterOptions) {
		this.#options = options;
	}

	start(lifecycle: Lifecycle): void {
		lifecycle.every('lease of the host entry', renewMs, () => {
			void this.#renew();
		});
		lifecycle.own('host entry', async () => this.#withdraw());
		void this.#enter();
	}

	async fetch(): ReturnType<HostList['fetch']> {
		return {success: true, data: [...this.#options.steering.hosts.values()]};
	}

	async #enter(): Promise<void> {
		const {store, logger, key, value} = this.#options;
		let retryMs = firstRetryMs;
		while (!this.#isClosed) {
			const lease = await store.openLease(leaseMs);
			const written = lease.success ? await store.putLeased(key, value, lease.data.leaseId) : lease;
			if (lease.success && written.success) {
				this.#leaseId = lease.data.leaseId;
				return;
			}

			logger.debug('the entry of this host could not be written', {err: written.success ? '' : written.error.message});
			await pause(retryMs);
			retryMs = Math.min(longestRetryMs, retryMs * 2);
		}
	}

	async #renew(): Promise<void> {
		if (this.#leaseId === undefined) {
			return;
		}

		const renewed = await this.#options.store.renewLease(this.#leaseId);
		if (!renewed.success && renewed.error.code === 'no_lease') {
			this.#options.logger.info('the lease of the host entry ended; a new one is opened');
			this.#leaseId = undefined;
			await this.#enter();
		}
	}

	async #withdraw(): Promise<void> {
		this.#isClosed = true;
		if (this.#leaseId !== undefined) {
			await this.#options.store.endLease(this.#leaseId);
		}
	}
}

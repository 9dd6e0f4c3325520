import {type HostList} from '../contracts/host-list.js';
import {type PrefixStore} from '../contracts/prefix-store.js';
import {EntryLease} from '../decisions/entry-lease.js';
import {type SeededRandom} from '../decisions/seeded-random.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {pause} from './pause.js';
import {type ReplicaService} from './replica-service.js';
import {type SteeringService} from './steering-service.js';

type HostListOptions = {
	readonly store: Pick<PrefixStore, 'openLease' | 'renewLease' | 'endLease' | 'putLeased'>;
	readonly steering: Pick<SteeringService, 'hosts'>;
	readonly replica: Pick<ReplicaService, 'onNewEra' | 'recordStoreEra'>;
	readonly logger: Pick<Logger, 'debug' | 'info'>;
	readonly random: SeededRandom;
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
/** Time over which the hosts write their entries again after a restore of the store: all hear of it at once, and their entries are missed after 2.2 s. */
const rewriteSpreadMs = 1000;

/** Maintains this host's leased entry in the store, and lists all such entries, which are addresses of possibly running daemons. */
export class HostListService implements HostList {
	readonly #options: HostListOptions;
	readonly #lease = new EntryLease();
	#isRegistering = false;
	#isClosed = false;

	constructor(options: HostListOptions) {
		this.#options = options;
	}

	start(lifecycle: Pick<Lifecycle, 'every' | 'addCleanup'>): void {
		const {replica, random} = this.#options;
		lifecycle.every('lease of the host entry', renewMs, () => {
			void this.#renewLease();
		});
		lifecycle.addCleanup('host entry', async () => this.#deregister());
		replica.onNewEra(async era => {
			this.#lease.hear(era);
			await pause(random.below(rewriteSpreadMs));
			await this.#register();
		});
		void this.#register();
	}

	async fetch(): ReturnType<HostList['fetch']> {
		return {success: true, data: [...this.#options.steering.hosts.values()]};
	}

	/** Writes the entry under a new lease, with retries, unless it is written already or being written. */
	async #register(): Promise<void> {
		if (this.#isRegistering) {
			return;
		}

		this.#isRegistering = true;
		let backoffMs = initialBackoffMs;
		while (!this.#isClosed && this.#lease.id === undefined) {
			const failure = await this.#writeEntry();
			if (failure !== undefined) {
				this.#options.logger.debug('writing the store entry of this host failed; it will be retried', {err: failure});
				await pause(backoffMs);
				backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
			}
		}

		this.#isRegistering = false;
	}

	/** Opens a lease and writes the entry under it. Returns what failed, or `undefined`. */
	async #writeEntry(): Promise<string | undefined> {
		const {store, key, value} = this.#options;
		const lease = await store.openLease(leaseMs);
		if (!lease.success) {
			return lease.error.message;
		}

		const written = await store.putLeased(key, value, lease.data.leaseId);
		if (!written.success) {
			return written.error.message;
		}

		this.#hearEra(written.data.era);
		return this.#lease.recordWritten(lease.data.leaseId, lease.data.era, written.data.era) ? undefined : 'the store was restored in the meantime';
	}

	async #renewLease(): Promise<void> {
		const {store, logger} = this.#options;
		const {id} = this.#lease;
		if (id === undefined) {
			await this.#register();
			return;
		}

		const renewed = await store.renewLease(id);
		if (renewed.success) {
			this.#hearEra(renewed.data.era);
		} else if (renewed.error.code === 'no_lease') {
			logger.info('the lease of the host entry has ended; opening a new one');
			this.#hearEra(renewed.error.era);
			this.#lease.recordLost(id);
		}

		await this.#register();
	}

	#hearEra(era: number): void {
		this.#options.replica.recordStoreEra(era, 'lease');
		this.#lease.hear(era);
	}

	async #deregister(): Promise<void> {
		this.#isClosed = true;
		if (this.#lease.id !== undefined) {
			await this.#options.store.endLease(this.#lease.id);
		}
	}
}

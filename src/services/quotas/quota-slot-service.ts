import {type Clock} from '../../contracts/clock.js';
import {type PrefixStore} from '../../contracts/prefix-store.js';
import {type QuotaShare} from '../../decisions/quota-share.js';
import {type QuotaSlots} from '../../decisions/quota-slots.js';
import {type Lifecycle} from '../../kernel/lifecycle.js';
import {type Logger} from '../logger.js';
import {type Metrics} from '../metrics.js';
import {type ReplicaService} from '../replica-service.js';
import {type SteeringService} from '../steering-service.js';

type QuotaSlotOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'debug'>;
	readonly metrics: Pick<Metrics, 'gauge' | 'count'>;
	readonly store: Pick<PrefixStore, 'openLease' | 'renewLease' | 'endLease' | 'putLeasedIf' | 'removeIf'>;
	readonly steering: Pick<SteeringService, 'onRoutes' | 'hosts' | 'quotaSlots'>;
	readonly replica: Pick<ReplicaService, 'onNewEra'>;
	readonly slots: QuotaSlots;
	readonly share: Pick<QuotaShare, 'setSlots'>;
	readonly keyOf: (slot: number) => string;
	/** Stored value of this host's slots. */
	readonly value: string;
};

/** A lease is of use only in the era of the store in which it was opened: a restored store may give its id to another host. */
type Lease = {
	readonly id: number;
	readonly era: number;
	/** Time to live that the store granted. */
	readonly ttlMs: number;
};

type SlotAction = ReturnType<QuotaSlots['plan']>[number];

/**
 * Lease of this host's slots. Longer ones bridge longer failures of the store; shorter ones free the slots of hosts sooner that
 * do not come back.
 */
const leaseMs = 600_000;
const renewMs = 20_000;
/** Interval at which the slots are looked at. */
const tickMs = 200;
/** Time between attempts to open a lease while the store does not answer. */
const retryMs = 1000;

/** Keeps this host's slots of the quotas in the store, once an account has a quota. */
export class QuotaSlotService {
	readonly #options: QuotaSlotOptions;
	#isNeeded = false;
	#isBusy = false;
	#lease: Lease | undefined;
	#nextLeaseCallMs = Number.NEGATIVE_INFINITY;
	#lentUntilMs: number | undefined;
	#loggedCount = 0;

	constructor(options: QuotaSlotOptions) {
		this.#options = options;
	}

	start(lifecycle: Pick<Lifecycle, 'every' | 'addCleanup'>): void {
		const {steering, replica, slots, clock, metrics} = this.#options;
		steering.onRoutes(({accounts}) => {
			this.#isNeeded ||= [...accounts.values()].some(account => account.quota !== undefined);
		});
		replica.onNewEra(era => {
			this.#checkEra(era);
		});
		metrics.gauge('quota_slots', () => slots.activeCount(clock.nowMs()));
		lifecycle.every('slots of the quotas', tickMs, () => {
			void this.#tick();
		});
		lifecycle.addCleanup('slots of the quotas', async () => this.#endLease());
	}

	/** Starts to give the slots away, at the beginning of a planned stop. */
	drain(): void {
		const {slots, clock} = this.#options;
		this.#lentUntilMs ??= slots.drain(clock.nowMs());
		this.#apply();
	}

	async #tick(): Promise<void> {
		if (!this.#isNeeded || this.#isBusy || this.#lentUntilMs !== undefined) {
			return;
		}

		this.#isBusy = true;
		try {
			const {slots, steering, clock} = this.#options;
			const actions = slots.plan({holders: steering.quotaSlots, hosts: [...steering.hosts.keys()]}, clock.nowMs());
			this.#apply();
			await this.#keepLease(actions.length > 0);
			for (const action of actions) {
				if (this.#lease !== undefined) {
					await this.#act(action, this.#lease);
				}
			}
		} finally {
			this.#isBusy = false;
			this.#apply();
		}
	}

	/** Opens a lease for the first slot, renews it, and ends it after the last one: most hosts of a large system need none. */
	async #keepLease(hasActions: boolean): Promise<void> {
		const {store, slots, clock} = this.#options;
		const isNeeded = hasActions || slots.heldCount > 0;
		if (!isNeeded && this.#lease !== undefined) {
			const {id} = this.#lease;
			this.#lease = undefined;
			this.#nextLeaseCallMs = Number.NEGATIVE_INFINITY;
			await store.endLease(id);
		}

		if (!isNeeded) {
			return;
		}

		const sentMs = clock.nowMs();
		if (sentMs < this.#nextLeaseCallMs) {
			return;
		}

		if (this.#lease === undefined) {
			this.#nextLeaseCallMs = sentMs + retryMs;
			const opened = await store.openLease(leaseMs);
			if (opened.success) {
				const {leaseId, era} = opened.data;
				this.#lease = {id: leaseId, era, ttlMs: Math.min(leaseMs, opened.data.ttlMs)};
				this.#nextLeaseCallMs = sentMs + renewMs;
				slots.recordLease(sentMs, this.#lease.ttlMs);
			}

			return;
		}

		const {id, ttlMs} = this.#lease;
		this.#nextLeaseCallMs = sentMs + renewMs;
		const renewed = await store.renewLease(id);
		if (renewed.success && this.#checkEra(renewed.data.era)) {
			slots.recordLease(sentMs, ttlMs);
		} else if (!renewed.success && renewed.error.code === 'no_lease') {
			this.#loseLease();
		}
	}

	/** Returns whether the lease is of an era that the store states, and gives it up otherwise. */
	#checkEra(era: number): boolean {
		if (this.#lease !== undefined && this.#lease.era !== era) {
			this.#loseLease();
		}

		return this.#lease !== undefined;
	}

	#loseLease(): void {
		const {slots, logger} = this.#options;
		logger.info('the lease of the slots of the quotas has ended; this host no longer mints for them');
		slots.recordLeaseLost();
		this.#lease = undefined;
		this.#nextLeaseCallMs = Number.NEGATIVE_INFINITY;
	}

	async #act(action: SlotAction, lease: Lease): Promise<void> {
		const {store, slots, keyOf, value, clock, logger, metrics} = this.#options;
		const result = action.kind === 'claim'
			? await store.putLeasedIf({
				key: keyOf(action.slot), value, leaseId: lease.id, expectedRevision: action.expectedRevision,
			})
			: await store.removeIf(keyOf(action.slot), action.expectedRevision);
		metrics.count('quota_slot_writes', {kind: action.kind, result: result.success ? 'written' : result.error.code});
		if (!result.success) {
			logger.debug('writing a slot of the quotas failed', {
				slot: action.slot, kind: action.kind, code: result.error.code, err: result.error.message,
			});
			if (result.error.code === 'no_lease') {
				this.#loseLease();
			}

			return;
		}

		if (!this.#checkEra(result.data.era)) {
			return;
		}

		if (action.kind === 'claim') {
			slots.recordClaim(action.slot, action.expectedRevision !== 0, clock.nowMs());
		} else {
			slots.recordReleased(action.slot);
		}
	}

	#apply(): void {
		const {slots, share, clock, logger} = this.#options;
		const nowMs = clock.nowMs();
		const count = slots.activeCount(nowMs);
		share.setSlots(count, slots.validUntilMs, nowMs);
		if (count !== this.#loggedCount) {
			this.#loggedCount = count;
			logger.info('slots of the quotas', {slots: count, validMs: Math.max(0, Math.round(slots.validUntilMs - nowMs))});
		}
	}

	/** Ends the lease, so that other hosts claim the slots, unless rates are still lent. */
	async #endLease(): Promise<void> {
		const isLent = this.#lentUntilMs === undefined || this.#options.clock.nowMs() < this.#lentUntilMs;
		if (this.#lease !== undefined && !isLent) {
			await this.#options.store.endLease(this.#lease.id);
		}
	}
}

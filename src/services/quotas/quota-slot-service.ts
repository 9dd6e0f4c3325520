import {type Clock} from '../../contracts/clock.js';
import {type PrefixStore} from '../../contracts/prefix-store.js';
import {type QuotaShare} from '../../decisions/quota-share.js';
import {type QuotaSlots} from '../../decisions/quota-slots.js';
import {type Lifecycle} from '../../kernel/lifecycle.js';
import {type Logger} from '../logger.js';
import {type Metrics} from '../metrics.js';
import {type SteeringService} from '../steering-service.js';

type QuotaSlotOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'debug'>;
	readonly metrics: Pick<Metrics, 'gauge' | 'count'>;
	readonly store: Pick<PrefixStore, 'openLease' | 'renewLease' | 'endLease' | 'putLeasedIf' | 'removeIf'>;
	readonly steering: Pick<SteeringService, 'onRoutes' | 'hosts' | 'quotaSlots'>;
	readonly slots: QuotaSlots;
	readonly share: Pick<QuotaShare, 'setSlots'>;
	readonly keyOf: (slot: number) => string;
	/** Stored value of this host's slots. */
	readonly value: string;
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
	#leaseId: number | undefined;
	/** Time to live that the store granted. */
	#ttlMs = 0;
	#nextLeaseCallMs = Number.NEGATIVE_INFINITY;
	#lentUntilMs: number | undefined;
	#loggedCount = 0;

	constructor(options: QuotaSlotOptions) {
		this.#options = options;
	}

	start(lifecycle: Pick<Lifecycle, 'every' | 'addCleanup'>): void {
		const {steering, slots, clock, metrics} = this.#options;
		steering.onRoutes(({accounts}) => {
			this.#isNeeded ||= [...accounts.values()].some(account => account.quota !== undefined);
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
				if (this.#leaseId !== undefined) {
					await this.#act(action, this.#leaseId);
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
		if (!isNeeded && this.#leaseId !== undefined) {
			const leaseId = this.#leaseId;
			this.#leaseId = undefined;
			this.#nextLeaseCallMs = Number.NEGATIVE_INFINITY;
			await store.endLease(leaseId);
		}

		if (!isNeeded) {
			return;
		}

		const sentMs = clock.nowMs();
		if (sentMs < this.#nextLeaseCallMs) {
			return;
		}

		if (this.#leaseId === undefined) {
			this.#nextLeaseCallMs = sentMs + retryMs;
			const lease = await store.openLease(leaseMs);
			if (lease.success) {
				this.#leaseId = lease.data.leaseId;
				this.#nextLeaseCallMs = sentMs + renewMs;
				this.#ttlMs = Math.min(leaseMs, lease.data.ttlMs);
				slots.recordLease(sentMs, this.#ttlMs);
			}

			return;
		}

		this.#nextLeaseCallMs = sentMs + renewMs;
		const renewed = await store.renewLease(this.#leaseId);
		if (renewed.success) {
			slots.recordLease(sentMs, this.#ttlMs);
		} else if (renewed.error.code === 'no_lease') {
			this.#loseLease();
		}
	}

	#loseLease(): void {
		const {slots, logger} = this.#options;
		logger.info('the lease of the slots of the quotas has ended; this host no longer mints for them');
		slots.recordLeaseLost();
		this.#leaseId = undefined;
		this.#nextLeaseCallMs = Number.NEGATIVE_INFINITY;
	}

	async #act(action: SlotAction, leaseId: number): Promise<void> {
		const {store, slots, keyOf, value, clock, logger, metrics} = this.#options;
		const result = action.kind === 'claim'
			? await store.putLeasedIf({
				key: keyOf(action.slot), value, leaseId, expectedRevision: action.expectedRevision,
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
		if (this.#leaseId !== undefined && !isLent) {
			await this.#options.store.endLease(this.#leaseId);
		}
	}
}

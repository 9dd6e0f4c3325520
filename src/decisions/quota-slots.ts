import {rendezvousOrder} from './rendezvous-order.js';

type QuotaSlotsOptions = {
	/** Id of this host; its value in the store. */
	readonly self: string;
	/** Number of slots. */
	readonly slots: number;
	/** Longest time for which a rate is lent, in milliseconds. */
	readonly rateLoanMs: number;
};

/** What the store says of the slots, as far as this host knows; it may be out of date. */
type SlotView = {
	/** Host and revision of the entry of each slot that has one. */
	readonly holders: ReadonlyMap<number, {readonly host: string; readonly revision: number}>;
	/** Ids of the listed hosts. */
	readonly hosts: readonly string[];
};

type SlotAction =
	/** Write the slot's entry, bound to the lease, if its revision is still `expectedRevision`; 0 if it has none. */
	| {readonly kind: 'claim'; readonly slot: number; readonly expectedRevision: number}
	/** Remove the slot's entry if its revision is still `expectedRevision`. */
	| {readonly kind: 'release'; readonly slot: number; readonly expectedRevision: number};

type HeldSlot = {
	/** Time from which this host mints for the slot. */
	readonly activeFromMs: number;
	/** Time from which it no longer does, since the slot is to be given away. */
	drainingFromMs: number | undefined;
	/** Whether this host has seen its entry. */
	isSeen: boolean;
};

/** Time for which hosts that start together are given to list themselves before slots are claimed. */
const settleMs = 1000;
/** Head start of each host before the next one in the slot's order. */
const rankDelayMs = 2000;
/** Time between two slots that a host gives away, so that the others claim them one by one. */
const releaseIntervalMs = 3000;
/**
 * Part of the lease that this host does not use. A store that comes back from a copy some seconds old forgets the last renewal,
 * 20 s, and clocks run at different rates, 0.1% of 600 s.
 */
const leaseMarginMs = 40_000;

/**
 * Which slots of the quotas this host has. Each slot is an entry of the store under the lease of one host, written only if
 * nobody else has written it. So no two hosts mint for a slot at a time, whatever they know of each other. Designed for 16 slots
 * and 300 hosts.
 */
export class QuotaSlots {
	readonly #options: QuotaSlotsOptions;
	readonly #held = new Map<number, HeldSlot>();
	readonly #freeSinceMs = new Map<number, number>();
	#firstViewMs: number | undefined;
	#validUntilMs = 0;
	#lastReleaseMs = Number.NEGATIVE_INFINITY;

	constructor(options: QuotaSlotsOptions) {
		this.#options = options;
	}

	/** Time until which this host may mint, in monotonic milliseconds. */
	get validUntilMs(): number {
		return this.#validUntilMs;
	}

	/** Number of slots whose entries this host has written. */
	get heldCount(): number {
		return this.#held.size;
	}

	/** Number of slots for which this host mints now. */
	activeCount(nowMs: number): number {
		return nowMs >= this.#validUntilMs ? 0 : [...this.#held.values()].filter(slot => slot.drainingFromMs === undefined && slot.activeFromMs <= nowMs).length;
	}

	/** Records that the store opened or renewed the lease in response to a call that was sent at `sentMs`. */
	recordLease(sentMs: number, ttlMs: number): void {
		this.#validUntilMs = Math.max(this.#validUntilMs, sentMs + ttlMs - Math.min(leaseMarginMs, ttlMs / 2));
	}

	/** Records that the lease has ended. */
	recordLeaseLost(): void {
		this.#held.clear();
		this.#validUntilMs = 0;
	}

	/** Records that this host wrote the entry of a slot. With `isTakeover`, its previous process had it, which may have lent rates. */
	recordClaim(slot: number, isTakeover: boolean, nowMs: number): void {
		this.#held.set(slot, {activeFromMs: nowMs + (isTakeover ? this.#options.rateLoanMs : 0), drainingFromMs: undefined, isSeen: false});
	}

	recordReleased(slot: number): void {
		this.#held.delete(slot);
	}

	/** Gives all slots away, since the host stops. Returns the time from which no rate is lent any more. */
	drain(nowMs: number): number {
		for (const slot of this.#held.values()) {
			slot.drainingFromMs ??= nowMs;
		}

		return nowMs + this.#options.rateLoanMs;
	}

	/** Returns what to write to the store. Each action has to end before the next plan. */
	plan({holders, hosts: listed}: SlotView, nowMs: number): SlotAction[] {
		const {self, slots, rateLoanMs} = this.#options;
		this.#firstViewMs ??= nowMs;
		this.#dropLostSlots(holders);
		if (nowMs - this.#firstViewMs < settleMs) {
			return [];
		}

		const hosts = [...new Set([...listed, self])];
		const fair = Math.ceil(slots / hosts.length);
		const actions: SlotAction[] = [];
		const counts = new Map<string, number>();
		for (const {host} of holders.values()) {
			counts.set(host, (counts.get(host) ?? 0) + 1);
		}

		const takers = hosts.filter(host => host === self || (counts.get(host) ?? 0) < fair);
		let count = this.#held.size;
		for (let slot = 0; slot < slots; slot++) {
			const holder = holders.get(slot);
			if (this.#held.has(slot)) {
				continue;
			}

			if (holder?.host === self) {
				actions.push({kind: 'claim', slot, expectedRevision: holder.revision});
				count++;
			} else if (holder === undefined && count < fair && this.#isDue(slot, takers, nowMs)) {
				actions.push({kind: 'claim', slot, expectedRevision: 0});
				count++;
			}

			if (holder !== undefined) {
				this.#freeSinceMs.delete(slot);
			}
		}

		this.#startRelease(fair, nowMs);
		for (const [slot, {drainingFromMs}] of this.#held) {
			if (drainingFromMs !== undefined && nowMs - drainingFromMs >= rateLoanMs) {
				actions.push({kind: 'release', slot, expectedRevision: holders.get(slot)?.revision ?? 0});
			}
		}

		return actions;
	}

	/** Forgets slots whose entries were there and are gone: a store that comes back from an older copy loses entries without their leases. */
	#dropLostSlots(holders: SlotView['holders']): void {
		for (const [slot, held] of this.#held) {
			const isOwn = holders.get(slot)?.host === this.#options.self;
			if (held.isSeen && !isOwn) {
				this.#held.delete(slot);
			}

			held.isSeen ||= isOwn;
		}
	}

	/** Whether it is this host's turn to claim a free slot. Others come first unless they leave it free for a while. */
	#isDue(slot: number, takers: readonly string[], nowMs: number): boolean {
		const freeSinceMs = this.#freeSinceMs.get(slot) ?? nowMs;
		this.#freeSinceMs.set(slot, freeSinceMs);
		const rank = rendezvousOrder(`quota slot ${slot}`, takers, host => host).indexOf(this.#options.self);
		return nowMs - freeSinceMs >= Math.max(0, rank) * rankDelayMs;
	}

	#startRelease(fair: number, nowMs: number): void {
		const kept = [...this.#held.values()].filter(slot => slot.drainingFromMs === undefined);
		if (kept.length > fair && nowMs - this.#lastReleaseMs >= releaseIntervalMs) {
			this.#lastReleaseMs = nowMs;
			kept.at(-1)!.drainingFromMs = nowMs;
		}
	}
}

import {type LiveInstance} from '../contracts/live-instance.js';
import {InstanceHealth} from './instance-health.js';
import {InstanceNotices} from './instance-notices.js';
import {InstanceQueue} from './instance-queue.js';

type Entry = {
	readonly instance: LiveInstance;
	readonly region: string;
	readonly health: InstanceHealth;
	readonly queue: InstanceQueue;
	/** Moment at which the instance is no longer cold, in monotonic milliseconds. */
	readonly coldUntilMs: number;
	/** Moment at which an entry that is missing from the store is removed; `undefined` while the store lists it. */
	retainUntilMs: number | undefined;
};

type InstanceTableOptions = {
	/** Region of each availability zone. */
	readonly regionOf: ReadonlyMap<string, string>;
};

/** Time for which an instance counts as cold after it could not be reached, unless the store reports that it was restarted. */
const assumedColdMs = 3000;

/** Instances of all services as listed in the store, with their health and queue as observed by this host's own attempts. */
export class InstanceTable {
	/** What the instances stated in their responses. */
	readonly notices = new InstanceNotices();
	readonly #options: InstanceTableOptions;
	readonly #entries = new Map<string, Entry>();
	/** Entries by service, in the order of `#entries`; `undefined` after a change until they are needed. */
	#byService: Map<string, Entry[]> | undefined;
	#evacuated: ReadonlySet<string> = new Set();

	constructor(options: InstanceTableOptions) {
		this.#options = options;
	}

	/** Number of known instances in any state. */
	get size(): number {
		return this.#entries.size;
	}

	/** Adds or updates an instance from its entry in the store. Health and queue are reset if its process or address is new. */
	write(instance: LiveInstance, nowMs: number): void {
		const known = this.#entries.get(instance.id);
		const isSameProcess = known?.instance.born === instance.born && known.instance.address === instance.address;
		this.#byService = undefined;
		this.#entries.set(instance.id, {
			instance,
			region: this.#options.regionOf.get(instance.zone) ?? '',
			health: isSameProcess ? known.health : new InstanceHealth(),
			queue: isSameProcess ? known.queue : new InstanceQueue(),
			coldUntilMs: nowMs + instance.coldMs,
			retainUntilMs: undefined,
		});
	}

	/**
	 * Adds or updates an instance from an entry of a restored store, unless the known entry is a later one of the same process: the instance
	 * then writes its entry again.
	 */
	writeRestored(instance: LiveInstance, nowMs: number): void {
		const known = this.#entries.get(instance.id);
		if (known !== undefined && isLater(known.instance, instance)) {
			known.retainUntilMs = undefined;
		} else {
			this.write(instance, nowMs);
		}
	}

	/** Retains all entries that are missing from the store at least until `retainUntilMs`. */
	extendRetention(retainUntilMs: number): void {
		for (const entry of this.#entries.values()) {
			entry.retainUntilMs &&= Math.max(entry.retainUntilMs, retainUntilMs);
		}
	}

	/** Records that an entry is missing from the store; it is removed at `retainUntilMs`. */
	remove(id: string, retainUntilMs: number, nowMs: number): void {
		const known = this.#entries.get(id);
		if (known !== undefined && retainUntilMs <= nowMs) {
			this.#delete(id);
		} else if (known !== undefined) {
			known.retainUntilMs = retainUntilMs;
		}
	}

	/** Sets the zones that are evacuated: no requests are sent to their instances. */
	evacuate(zones: ReadonlySet<string>): void {
		this.#evacuated = zones;
	}

	/** Removes the missing entries whose removal time has passed. */
	expire(nowMs: number): void {
		for (const [id, entry] of this.#entries) {
			if (entry.retainUntilMs !== undefined && nowMs >= entry.retainUntilMs) {
				this.#delete(id);
			}
		}
	}

	/** Returns the instances of a service that accept requests, including those that could not be reached recently or asked for a pause. */
	serving(service: string): Entry[] {
		this.#byService ??= groupByService(this.#entries.values());
		return (this.#byService.get(service) ?? []).filter(({instance}) => this.#isServing(instance));
	}

	/** Returns the entry of an instance if it is one of `serving(service)`. */
	servingOne(id: string, service: string): Entry | undefined {
		const entry = this.#entries.get(id);
		return entry?.instance.service === service && this.#isServing(entry.instance) ? entry : undefined;
	}

	/** Returns the instances of all services that accept requests, can be reached and are not cold. */
	available(nowMs: number): Array<{readonly id: string; readonly service: string; readonly region: string; readonly slots: number}> {
		return [...this.#entries.values()]
			.filter(entry => this.#isServing(entry.instance) && !this.isCold(entry, nowMs) && entry.health.state(nowMs) === 'open')
			.map(({instance, region}) => ({
				id: instance.id, service: instance.service, region, slots: instance.slots,
			}));
	}

	get(id: string): Entry | undefined {
		return this.#entries.get(id);
	}

	/** Returns the listed instances that stated that they are leaving. */
	leaving(): LiveInstance[] {
		return [...this.#entries.values()].map(entry => entry.instance).filter(instance => this.notices.isLeaving(instance));
	}

	/** Returns the listed instances that asked this host for a pause, with the rest of it in milliseconds. */
	paused(nowMs: number): Array<{readonly id: string; readonly pauseMs: number}> {
		return [...this.#entries.values()]
			.map(({instance}) => ({id: instance.id, pauseMs: this.notices.pauseMs(instance, nowMs)}))
			.filter(({pauseMs}) => pauseMs > 0);
	}

	/** Returns whether an instance may be cold: it reported so, or it could not be reached recently and may have restarted. */
	isCold(entry: Entry, nowMs: number): boolean {
		const {failedMs} = entry.health;
		return nowMs < entry.coldUntilMs || (failedMs !== undefined && nowMs - failedMs < assumedColdMs);
	}

	#delete(id: string): void {
		this.#entries.delete(id);
		this.#byService = undefined;
	}

	#isServing(instance: LiveInstance): boolean {
		return !instance.isDraining && !this.#evacuated.has(instance.zone) && !this.notices.isLeaving(instance);
	}
}

function isLater(a: LiveInstance, b: LiveInstance): boolean {
	return a.born === b.born && (a.sequence ?? 0) > (b.sequence ?? 0);
}

function groupByService(entries: Iterable<Entry>): Map<string, Entry[]> {
	const groups = new Map<string, Entry[]>();
	for (const entry of entries) {
		const group = groups.get(entry.instance.service);
		if (group === undefined) {
			groups.set(entry.instance.service, [entry]);
		} else {
			group.push(entry);
		}
	}

	return groups;
}

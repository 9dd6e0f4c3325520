import {type Member} from '../contracts/member.js';
import {type MemberUpdate} from '../contracts/member-update.js';
import {hashText} from './hash-text.js';
import {memberKey} from './member-key.js';
import {rendezvousOrder} from './rendezvous-order.js';

type Entry = MemberUpdate & {
	/** Time of the latest change, in monotonic milliseconds. */
	readonly changedMs: number;
};

/** Lists derived from the entries on first use and cached until an entry changes. */
type CachedLists = {
	aliveOthers?: readonly Member[];
	alive?: readonly Member[];
	candidates?: readonly Member[];
	delegateOrder?: readonly Member[];
};

const hashRange = 2 ** 32;
const statusSeverity = {alive: 0, suspect: 1, dead: 2} as const;

/** One member's view of the members of its region. The entry of the member itself is always present and alive. */
export class MemberTable {
	readonly #entries = new Map<string, Entry>();
	readonly #suspectsAndDead = new Set<string>();
	#self: MemberUpdate;
	#hash: number;
	#cached: CachedLists = {};

	constructor(self: MemberUpdate) {
		this.#self = self;
		this.#hash = hashOf(self);
	}

	get self(): MemberUpdate {
		return this.#self;
	}

	/** Number of other members known, including dead ones. */
	get size(): number {
		return this.#entries.size;
	}

	/** Hash of the whole view: the sum of the entries' hashes. */
	get hash(): number {
		return this.#hash;
	}

	/** Keys of suspected and dead members. */
	get suspectsAndDead(): ReadonlySet<string> {
		return this.#suspectsAndDead;
	}

	/** Returns the keys of all other members. */
	keys(): string[] {
		return [...this.#entries.keys()];
	}

	get(key: string): Entry | undefined {
		return this.#entries.get(key);
	}

	/** Returns the entry of another member as an update, without the time of its change. */
	updateOf(key: string): MemberUpdate | undefined {
		const entry = this.#entries.get(key);
		return entry === undefined ? undefined : toUpdate(entry);
	}

	/** Returns all entries as updates, including the one of this member. */
	updates(): MemberUpdate[] {
		return [this.#self, ...[...this.#entries.values()].map(entry => toUpdate(entry))];
	}

	/** Returns the other members that are considered alive. */
	aliveOthers(): readonly Member[] {
		this.#cached.aliveOthers ??= [...this.#entries.values()].filter(entry => entry.status === 'alive').map(entry => entry.member);
		return this.#cached.aliveOthers;
	}

	/** Returns the members considered alive, including this one, in the same order at every member. */
	alive(): readonly Member[] {
		this.#cached.alive ??= [this.#self.member, ...this.aliveOthers()].toSorted((a, b) => (memberKey(a) < memberKey(b) ? -1 : 1));
		return this.#cached.alive;
	}

	/** Returns the members that may be assigned new requests: alive and not in a planned stop. */
	candidates(): readonly Member[] {
		this.#cached.candidates ??= this.alive().filter(member => !this.isLeaving(memberKey(member)));
		return this.#cached.candidates;
	}

	/** Returns the candidates in the order in which they become delegates of the region. */
	delegateOrder(): readonly Member[] {
		this.#cached.delegateOrder ??= rendezvousOrder('delegate', this.candidates(), memberKey);
		return this.#cached.delegateOrder;
	}

	isLeaving(key: string): boolean {
		return key === memberKey(this.#self.member) ? this.#self.isLeaving : this.#entries.get(key)?.isLeaving ?? false;
	}

	/** Returns how busy a member's host is; 0 if it is unknown. */
	busyLevelOf(key: string): number {
		const update = key === memberKey(this.#self.member) ? this.#self : this.#entries.get(key);
		return update?.busyLevel ?? 0;
	}

	/** Replaces the entry of this member. */
	setSelf(update: MemberUpdate): void {
		this.#updateHash(this.#self, update);
		this.#self = update;
		this.#cached = {};
	}

	/** Applies an update of another member; returns whether it changed the view. */
	apply(update: MemberUpdate, nowMs: number): boolean {
		const key = memberKey(update.member);
		const current = this.#entries.get(key);
		if (!supersedes(update, current)) {
			return false;
		}

		this.#updateHash(current, update);
		this.#entries.set(key, {...update, changedMs: nowMs});
		if (update.status === 'alive') {
			this.#suspectsAndDead.delete(key);
		} else {
			this.#suspectsAndDead.add(key);
		}

		this.#cached = {};
		return true;
	}

	/** Evicts a dead member. */
	evict(key: string): void {
		this.#entries.delete(key);
		this.#suspectsAndDead.delete(key);
	}

	#updateHash(before: MemberUpdate | undefined, after: MemberUpdate): void {
		const removed = before === undefined ? 0 : hashOf(before);
		this.#hash = (this.#hash + hashRange + hashOf(after) - removed) % hashRange;
	}
}

/** Returns the hash of an entry; 0 for a dead member, because hosts evict dead members at different times. */
function hashOf(update: MemberUpdate): number {
	return update.status === 'dead' ? 0 : hashText(`${memberKey(update.member)}|${update.incarnation}|${update.status}|${update.isLeaving}`);
}

function toUpdate(entry: Entry): MemberUpdate {
	const {changedMs, ...update} = entry;
	return update;
}

/**
 * Returns whether an update replaces the current entry: a higher incarnation does, and so does a more severe status at the
 * same incarnation. An update that reports an unknown member as dead is ignored.
 */
function supersedes(update: MemberUpdate, current: Entry | undefined): boolean {
	if (current === undefined) {
		return update.status !== 'dead';
	}

	if (update.incarnation !== current.incarnation) {
		return update.incarnation > current.incarnation;
	}

	return statusSeverity[update.status] > statusSeverity[current.status];
}

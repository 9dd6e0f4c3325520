import {type Member} from '../contracts/member.js';
import {type MemberUpdate} from '../contracts/member-update.js';
import {hashText} from './hash-text.js';
import {memberKey} from './member-key.js';
import {rendezvousOrder} from './rendezvous-order.js';

type Entry = MemberUpdate & {
	/** Moment of the latest change, in monotonic milliseconds. */
	readonly sinceMs: number;
};

/** Lists made from the entries when they are asked for, and kept until an entry changes. */
type View = {
	others?: readonly Member[];
	alive?: readonly Member[];
	staying?: readonly Member[];
	order?: readonly Member[];
};

const hashRange = 2 ** 32;
const statusRank = {alive: 0, suspect: 1, dead: 2} as const;

/** Members of a region as one of them sees them; its own entry is always there and alive. */
export class MemberTable {
	readonly #entries = new Map<string, Entry>();
	readonly #unwell = new Set<string>();
	#self: MemberUpdate;
	#hash: number;
	#view: View = {};

	constructor(self: MemberUpdate) {
		this.#self = self;
		this.#hash = hashOf(self);
	}

	get self(): MemberUpdate {
		return this.#self;
	}

	/** Other members known, the dead among them. */
	get size(): number {
		return this.#entries.size;
	}

	/** Hash of the whole view, a sum over its entries. */
	get hash(): number {
		return this.#hash;
	}

	/** Keys of the suspect and the dead. */
	get unwell(): ReadonlySet<string> {
		return this.#unwell;
	}

	/** Keys of the other members. */
	keys(): string[] {
		return [...this.#entries.keys()];
	}

	get(key: string): Entry | undefined {
		return this.#entries.get(key);
	}

	/** What is known of another member, without its time. */
	updateOf(key: string): MemberUpdate | undefined {
		const entry = this.#entries.get(key);
		return entry === undefined ? undefined : toUpdate(entry);
	}

	/** Everything known. */
	updates(): MemberUpdate[] {
		return [this.#self, ...[...this.#entries.values()].map(entry => toUpdate(entry))];
	}

	/** Members thought alive, without the own one. */
	others(): readonly Member[] {
		this.#view.others ??= [...this.#entries.values()].filter(entry => entry.status === 'alive').map(entry => entry.member);
		return this.#view.others;
	}

	/** Members thought alive in an order common to all. */
	alive(): readonly Member[] {
		this.#view.alive ??= [this.#self.member, ...this.others()].toSorted((a, b) => (memberKey(a) < memberKey(b) ? -1 : 1));
		return this.#view.alive;
	}

	/** Members that are alive and not in a planned stop. */
	staying(): readonly Member[] {
		this.#view.staying ??= this.alive().filter(member => !this.isLeaving(memberKey(member)));
		return this.#view.staying;
	}

	/** The staying members in the order in which they act for the region. */
	order(): readonly Member[] {
		this.#view.order ??= rendezvousOrder('delegate', this.staying(), memberKey);
		return this.#view.order;
	}

	isLeaving(key: string): boolean {
		return key === memberKey(this.#self.member) ? this.#self.isLeaving : this.#entries.get(key)?.isLeaving ?? false;
	}

	/** Replaces the own entry. */
	setSelf(update: MemberUpdate): void {
		this.#rehash(this.#self, update);
		this.#self = update;
		this.#view = {};
	}

	/** Takes in news of another member; answers whether it was news. */
	apply(update: MemberUpdate, nowMs: number): boolean {
		const key = memberKey(update.member);
		const current = this.#entries.get(key);
		if (!isNewer(update, current)) {
			return false;
		}

		this.#rehash(current, update);
		this.#entries.set(key, {...update, sinceMs: nowMs});
		if (update.status === 'alive') {
			this.#unwell.delete(key);
		} else {
			this.#unwell.add(key);
		}

		this.#view = {};
		return true;
	}

	/** Forgets a dead member. */
	forget(key: string): void {
		this.#entries.delete(key);
		this.#unwell.delete(key);
	}

	#rehash(before: MemberUpdate | undefined, after: MemberUpdate): void {
		const removed = before === undefined ? 0 : hashOf(before);
		this.#hash = (this.#hash + hashRange + hashOf(after) - removed) % hashRange;
	}
}

/** The dead count for nothing: hosts forget them at different times. */
function hashOf(update: MemberUpdate): number {
	return update.status === 'dead' ? 0 : hashText(`${memberKey(update.member)}|${update.incarnation}|${update.status}|${update.isLeaving}`);
}

function toUpdate(entry: Entry): MemberUpdate {
	return {
		member: entry.member, incarnation: entry.incarnation, status: entry.status, isLeaving: entry.isLeaving,
	};
}

/** A higher incarnation is news, as is a graver status; the death of a stranger is not. */
function isNewer(update: MemberUpdate, current: Entry | undefined): boolean {
	if (current === undefined) {
		return update.status !== 'dead';
	}

	if (update.incarnation !== current.incarnation) {
		return update.incarnation > current.incarnation;
	}

	return statusRank[update.status] > statusRank[current.status];
}

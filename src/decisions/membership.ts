import {type GossipMessage} from '../contracts/gossip-message.js';
import {type Member} from '../contracts/member.js';
import {type MemberUpdate} from '../contracts/member-update.js';
import {type RegionSummary} from '../contracts/region-summary.js';
import {memberKey} from './member-key.js';
import {MemberTable} from './member-table.js';
import {ProbeTargets} from './probe-targets.js';
import {RegionExchange} from './region-exchange.js';
import {type SeededRandom} from './seeded-random.js';
import {UpdateQueue} from './update-queue.js';

type MembershipOptions = {
	readonly periodMs: number;
	readonly probeTimeoutMs: number;
	/** Suspicion lasts this multiple of the period and of log10 of the region's size. */
	readonly suspicionPeriods: number;
	/** A gap between ticks longer than this counts as a pause of the process. */
	readonly pauseLimitMs: number;
};

type MembershipEffect =
	| {readonly kind: 'send'; readonly address: string; readonly message: GossipMessage}
	/** Exchange whole views with the daemon at this address. */
	| {readonly kind: 'sync'; readonly address: string}
	/** The view changed. */
	| {readonly kind: 'changed'}
	/** A peer has a newer configuration. */
	| {readonly kind: 'revision'; readonly revision: number; readonly address: string};

type Probe = {
	readonly key: string;
	readonly seq: number;
	readonly startMs: number;
	stage: 'direct' | 'repeated' | 'indirect';
};

/** News carried by one datagram; keeps it under 1,400 bytes. */
const updatesPerMessage = 6;
const summariesPerMessage = 1;
const indirectProbes = 3;
const newsFanOut = 3;
/** Members that a delegate tells of a new revision itself. */
const directNews = 200;
/** Hosts of a region that speak with other regions. */
const delegates = 2;
/** Time for which a dead member is remembered, in milliseconds. */
const tombstoneMs = 60_000;
/** Shortest time between two synchronisations, in milliseconds. */
const syncIntervalMs = 5000;

/**
 * Membership of one region by SWIM-style probing with suspicion and incarnations, and of the other
 * regions by summaries that delegates exchange. Each process life is a member of its own.
 * Source: Das, Gupta, Motivala, "SWIM", DSN 2002.
 */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #self: Member;
	readonly #selfKey: string;
	readonly #random: SeededRandom;
	readonly #table: MemberTable;
	readonly #targets: ProbeTargets;
	readonly #queue = new UpdateQueue<MemberUpdate>();
	readonly #regions: RegionExchange;
	readonly #relayed = new Map<number, {readonly address: string; readonly seq: number; readonly expiresMs: number}>();
	#hints: readonly string[] = [];
	#probe: Probe | undefined;
	#nextProbeMs = 0;
	#lastTickMs: number | undefined;
	#lastSyncMs = Number.NEGATIVE_INFINITY;
	#seq = 0;
	#rejoinSinceMs: number | undefined;
	#revision = 0;

	constructor(options: MembershipOptions, self: Member, random: SeededRandom) {
		this.#options = options;
		this.#self = self;
		this.#selfKey = memberKey(self);
		this.#random = random;
		this.#seq = random.below(1_000_000_000);
		this.#table = new MemberTable({
			member: self, incarnation: 0, status: 'alive', isLeaving: false,
		});
		this.#targets = new ProbeTargets(this.#table, random);
		this.#regions = new RegionExchange(self.region, random, () => this.#table.order());
	}

	/** Incarnation of this process. */
	get incarnation(): number {
		return this.#table.self.incarnation;
	}

	get self(): Member {
		return this.#self;
	}

	get isLeaving(): boolean {
		return this.#table.self.isLeaving;
	}

	/** Members of the region that are thought alive, this process included, in an order common to all. */
	alive(): readonly Member[] {
		return this.#table.alive();
	}

	/** Members of the region that may take on new work: alive and not leaving. */
	staying(): readonly Member[] {
		return this.#table.staying();
	}

	/** Whether a member of the region is in a planned stop. */
	isMemberLeaving(key: string): boolean {
		return this.#table.isLeaving(key);
	}

	/** Status of a member of the region; `undefined` for one never heard of or long dead. */
	statusOf(key: string): MemberUpdate['status'] | undefined {
		return key === this.#selfKey ? 'alive' : this.#table.get(key)?.status;
	}

	/** Everything known of the region's members. */
	updates(): MemberUpdate[] {
		return this.#table.updates();
	}

	/** Hosts known of another region. */
	hostsOf(region: string): readonly Member[] {
		return this.#regions.hostsOf(region);
	}

	/** Other regions of which something is known. */
	otherRegions(): readonly string[] {
		return this.#regions.names();
	}

	/** Time since another region was last heard from, in milliseconds. */
	silenceOf(region: string, nowMs: number): number {
		return this.#regions.silenceOf(region, nowMs);
	}

	/** Whether this process is one of those that speak with other regions and watch the store. */
	isDelegate(): boolean {
		return this.delegateRank() < delegates;
	}

	/** Place of this process in the region's order of delegates, from 0. */
	delegateRank(): number {
		const order = this.#table.order();
		const rank = order.findIndex(member => memberKey(member) === this.#selfKey);
		return rank === -1 ? order.length : rank;
	}

	/**
	 * Whether this process may decide for others. After a pause it may not until a peer, asked since,
	 * has answered: others may have taken over what it owned.
	 */
	isConfident(nowMs: number): boolean {
		return this.#rejoinSinceMs === undefined && !this.#isPaused(nowMs);
	}

	/** Says which revision is in force here; it rides on every datagram. */
	setRevision(revision: number): MembershipEffect[] {
		this.#revision = revision;
		// Delegates watch the store: what they learn goes to the whole region at once, and from host to host only where that is lost.
		const peers = this.#random.sample(this.#table.others(), this.isDelegate() ? directNews : newsFanOut);
		const news = peers.map(member => this.#send(member.peers, {kind: 'news', ...this.#common(0)}));
		return this.isDelegate() ? [...news, ...this.#toRegions(this.#regions.allMessages())] : news;
	}

	/** Addresses from the platform's list at which daemons may be found. */
	setHints(own: readonly string[], foreign: ReadonlyMap<string, readonly string[]>): void {
		this.#hints = own.filter(address => address !== this.#self.peers);
		this.#regions.setHints(foreign);
	}

	/** Announces a planned stop, or takes it back. */
	setLeaving(isLeaving: boolean): MembershipEffect[] {
		this.#setSelf(this.incarnation + 1, isLeaving);
		return [{kind: 'changed'}, ...this.#spreadNow()];
	}

	/** Announces that this process is about to end. */
	leave(): MembershipEffect[] {
		const update: MemberUpdate = {...this.#table.self, incarnation: this.incarnation + 1, status: 'dead'};
		this.#queue.add(this.#selfKey, update);
		return this.#spreadNow();
	}

	/** Takes in proof that a member did not accept a connection: it is suspected at once. */
	reportRefused(key: string, nowMs: number): MembershipEffect[] {
		const update = this.#table.updateOf(key);
		return update?.status === 'alive' ? this.#suspect(update, nowMs) : [];
	}

	/** Takes in another daemon's whole view. */
	merge(updates: readonly MemberUpdate[], nowMs: number): MembershipEffect[] {
		return updates.flatMap(update => this.#apply(update, nowMs));
	}

	/** Advances the failure detector; call it several times a period. */
	tick(nowMs: number): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		if (this.#isPaused(nowMs)) {
			effects.push(...this.#wake(nowMs));
		}

		this.#lastTickMs = nowMs;
		this.#endLonelyRejoin(nowMs);
		effects.push(...this.#expire(nowMs), ...this.#advanceProbe(nowMs));
		if (nowMs >= this.#nextProbeMs) {
			this.#nextProbeMs = nowMs + this.#options.periodMs;
			effects.push(...this.#startProbe(nowMs), ...(this.isDelegate() ? this.#toRegions(this.#regions.nextMessages()) : []));
		}

		return effects;
	}

	/** Takes in a datagram. */
	receive(message: GossipMessage, nowMs: number): MembershipEffect[] {
		if (message.from === this.#selfKey) {
			return [];
		}

		const effects = message.updates.flatMap(update => this.#apply(update, nowMs));
		for (const summary of message.summaries) {
			effects.push(...this.#takeSummary(summary, nowMs));
		}

		if (message.revision > this.#revision) {
			effects.push({kind: 'revision', revision: message.revision, address: message.address});
		}

		effects.push(...this.#answer(message, nowMs));
		return effects;
	}

	#answer(message: GossipMessage, nowMs: number): MembershipEffect[] {
		switch (message.kind) {
			case 'ping': {
				if (message.to !== this.#selfKey && message.to !== '') {
					return [this.#send(message.address, {kind: 'gone', gone: message.to, ...this.#common()})];
				}

				return [this.#send(message.address, {kind: 'ack', seq: message.seq, ...this.#common()}), ...this.#compareViews(message, nowMs)];
			}

			case 'ack': {
				return [...this.#takeAck(message.seq, nowMs), ...this.#compareViews(message, nowMs)];
			}

			case 'ping-req': {
				const seq = this.#nextSeq();
				this.#relayed.set(seq, {address: message.address, seq: message.seq, expiresMs: nowMs + this.#options.periodMs});
				return [this.#send(message.targetAddress, {
					kind: 'ping', seq, to: message.target, ...this.#common(),
				})];
			}

			case 'gone': {
				const update = this.#table.updateOf(message.gone);
				return update === undefined ? [] : this.#apply({...update, status: 'dead'}, nowMs);
			}

			case 'news': {
				return [];
			}

			case 'region': {
				return this.#toRegions(this.#regions.answer(message, nowMs));
			}
		}
	}

	#takeAck(seq: number, nowMs: number): MembershipEffect[] {
		const relay = this.#relayed.get(seq);
		if (relay !== undefined) {
			this.#relayed.delete(seq);
			return [this.#send(relay.address, {kind: 'ack', seq: relay.seq, ...this.#common()})];
		}

		const probe = this.#probe;
		if (probe?.seq === seq) {
			this.#targets.settle(probe.key);
			this.#probe = undefined;
			if (this.#rejoinSinceMs !== undefined && probe.startMs >= this.#rejoinSinceMs && nowMs >= probe.startMs) {
				this.#rejoinSinceMs = undefined;
				return [{kind: 'changed'}];
			}
		}

		return [];
	}

	#compareViews(message: GossipMessage, nowMs: number): MembershipEffect[] {
		const isKnown = this.#table.get(message.from) !== undefined;
		const isDue = nowMs - this.#lastSyncMs >= (isKnown ? syncIntervalMs : this.#options.periodMs);
		const isQuiet = this.#queue.size === 0;
		if (message.viewHash === this.#table.hash || !isDue || (isKnown && !isQuiet)) {
			return [];
		}

		this.#lastSyncMs = nowMs;
		return [{kind: 'sync', address: message.address}];
	}

	/** Probes one member; when none is known yet, an address from the hints. */
	#startProbe(nowMs: number): MembershipEffect[] {
		const key = this.#targets.next();
		const seq = this.#nextSeq();
		if (key === undefined) {
			const hint = this.#random.sample(this.#hints, 1)[0];
			return hint === undefined
				? []
				: [this.#send(hint, {
					kind: 'ping', seq, to: '', ...this.#common(),
				})];
		}

		this.#probe = {
			key, seq, startMs: nowMs, stage: 'direct',
		};
		return [...this.#ping(this.#probe), ...this.#probeHint()];
	}

	/** Now and then asks a listed address that no known member has, so that parted groups find each other. */
	#probeHint(): MembershipEffect[] {
		if (this.#random.below(5) !== 0) {
			return [];
		}

		const known = new Set(this.#table.updates().filter(update => update.status !== 'dead').map(update => update.member.peers));
		const strangers = this.#hints.filter(address => !known.has(address));
		return this.#random.sample(strangers, 1).map(address => this.#send(address, {
			kind: 'ping', seq: this.#nextSeq(), to: '', ...this.#common(),
		}));
	}

	#advanceProbe(nowMs: number): MembershipEffect[] {
		const probe = this.#probe;
		if (probe === undefined) {
			return [];
		}

		const ageMs = nowMs - probe.startMs;
		if (ageMs >= this.#options.periodMs * 0.9) {
			this.#probe = undefined;
			return this.#failProbe(probe, nowMs);
		}

		if (probe.stage === 'direct' && ageMs >= this.#options.probeTimeoutMs / 2) {
			probe.stage = 'repeated';
			return this.#ping(probe);
		}

		if (probe.stage === 'repeated' && ageMs >= this.#options.probeTimeoutMs) {
			probe.stage = 'indirect';
			return this.#pingIndirectly(probe);
		}

		return [];
	}

	/** One failed probe raises doubt; a second one in a row raises suspicion. */
	#failProbe(probe: Probe, nowMs: number): MembershipEffect[] {
		const update = this.#table.updateOf(probe.key);
		const isSuspicious = update?.status === 'alive' && this.#targets.failed(probe.key);
		return isSuspicious ? this.#suspect(update, nowMs) : [];
	}

	/** Suspects a member and tells it so at once, so that it can refute before the time runs out. */
	#suspect(update: MemberUpdate, nowMs: number): MembershipEffect[] {
		const suspicion: MemberUpdate = {...update, status: 'suspect'};
		const effects = this.#apply(suspicion, nowMs);
		const message: GossipMessage = {kind: 'news', ...this.#common(0), updates: [suspicion]};
		return [...effects, this.#send(update.member.peers, message), ...this.#spreadNow()];
	}

	#ping(probe: Probe): MembershipEffect[] {
		const target = this.#table.updateOf(probe.key);
		if (target === undefined) {
			return [];
		}

		const common = this.#common();
		const updates = target.status === 'suspect' ? [target, ...common.updates.slice(1)] : common.updates;
		return [this.#send(target.member.peers, {
			kind: 'ping', seq: probe.seq, to: probe.key, ...common, updates,
		})];
	}

	#pingIndirectly(probe: Probe): MembershipEffect[] {
		const target = this.#table.updateOf(probe.key);
		if (target === undefined) {
			return [];
		}

		const helpers = this.#random.sample(this.#table.others().filter(member => memberKey(member) !== probe.key), indirectProbes);
		return helpers.map(helper => this.#send(helper.peers, {
			kind: 'ping-req', seq: probe.seq, target: probe.key, targetAddress: target.member.peers, ...this.#common(),
		}));
	}

	/** Turns suspicion that was not refuted into death, and forgets the long dead. */
	#expire(nowMs: number): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		const suspicionMs = this.#options.suspicionPeriods * this.#options.periodMs * Math.max(1, Math.log10(this.#table.size + 1));
		for (const key of this.#table.unwell) {
			const {sinceMs, ...update} = this.#table.get(key)!;
			if (update.status === 'suspect' && nowMs - sinceMs >= suspicionMs) {
				effects.push(...this.#apply({...update, status: 'dead'}, nowMs));
			} else if (update.status === 'dead' && nowMs - sinceMs >= tombstoneMs) {
				this.#table.forget(key);
			}
		}

		for (const [seq, relay] of this.#relayed) {
			if (nowMs >= relay.expiresMs) {
				this.#relayed.delete(seq);
			}
		}

		return effects;
	}

	#apply(update: MemberUpdate, nowMs: number): MembershipEffect[] {
		const key = memberKey(update.member);
		if (key === this.#selfKey) {
			return this.#defend(update);
		}

		if (update.member.region !== this.#self.region || !this.#table.apply(update, nowMs)) {
			return [];
		}

		this.#queue.add(key, update);
		this.#targets.settle(key);
		this.#retireOlderLives(update, nowMs);
		return [{kind: 'changed'}];
	}

	/** A host has one process: a new life of it ends an earlier one that is suspected. */
	#retireOlderLives(update: MemberUpdate, nowMs: number): void {
		if (update.status !== 'alive') {
			return;
		}

		for (const key of this.#table.unwell) {
			const other = this.#table.updateOf(key)!;
			const isOtherLife = other.member.id === update.member.id && other.member.boot !== update.member.boot;
			if (isOtherLife && other.status === 'suspect') {
				this.#apply({...other, status: 'dead'}, nowMs);
			}
		}
	}

	/** Refutes what others think of this process by a higher incarnation. */
	#defend(update: MemberUpdate): MembershipEffect[] {
		const {self} = this.#table;
		const isTrue = update.status === 'alive' && update.isLeaving === self.isLeaving;
		if (update.incarnation < self.incarnation || (isTrue && update.incarnation === self.incarnation)) {
			return [];
		}

		this.#setSelf(update.incarnation + 1, self.isLeaving);
		return this.#spreadNow();
	}

	#setSelf(incarnation: number, isLeaving: boolean): void {
		this.#table.setSelf({...this.#table.self, incarnation, isLeaving});
		this.#queue.add(this.#selfKey, this.#table.self);
	}

	#isPaused(nowMs: number): boolean {
		return this.#lastTickMs !== undefined && nowMs - this.#lastTickMs > this.#options.pauseLimitMs;
	}

	/** After a pause others may hold this process for dead: it speaks up with a new incarnation first. */
	#wake(nowMs: number): MembershipEffect[] {
		this.#rejoinSinceMs = nowMs;
		this.#probe = undefined;
		this.#nextProbeMs = nowMs;
		this.#setSelf(this.incarnation + 1, this.isLeaving);
		return [{kind: 'changed'}, ...this.#spreadNow()];
	}

	/** With nobody left to ask, a paused process goes on alone after the time that suspicion takes. */
	#endLonelyRejoin(nowMs: number): void {
		const limitMs = this.#options.suspicionPeriods * this.#options.periodMs;
		if (this.#rejoinSinceMs !== undefined && this.#table.others().length === 0 && nowMs - this.#rejoinSinceMs >= limitMs) {
			this.#rejoinSinceMs = undefined;
		}
	}

	#spreadNow(): MembershipEffect[] {
		return this.#random.sample(this.#table.others(), newsFanOut).map(member => this.#send(member.peers, {kind: 'news', ...this.#common()}));
	}

	#toRegions(messages: ReturnType<RegionExchange['allMessages']>): MembershipEffect[] {
		return messages.map(({address, fields}) => this.#send(address, {...this.#common(0), ...fields}));
	}

	#takeSummary(summary: RegionSummary, nowMs: number): MembershipEffect[] {
		if (!this.#regions.take(summary, nowMs, this.#transmitLimit())) {
			return [];
		}

		return [{kind: 'changed'}];
	}

	#transmitLimit(): number {
		return 3 * Math.ceil(Math.log10(this.#table.size + 2) + 1);
	}

	#common(updates = updatesPerMessage): Omit<GossipMessage & {kind: 'news'}, 'kind'> {
		return {
			from: this.#selfKey,
			address: this.#self.peers,
			revision: this.#revision,
			viewHash: this.#table.hash,
			updates: updates === 0 ? [] : this.#queue.take(updates, this.#transmitLimit()),
			summaries: updates === 0 ? [] : this.#regions.takeNews(summariesPerMessage),
		};
	}

	#nextSeq(): number {
		this.#seq++;
		return this.#seq;
	}

	#send(address: string, message: GossipMessage): MembershipEffect {
		return {kind: 'send', address, message};
	}
}

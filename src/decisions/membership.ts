import {type GossipMessage} from '../contracts/gossip-message.js';
import {type Member} from '../contracts/member.js';
import {type MemberUpdate} from '../contracts/member-update.js';
import {type RegionSummary} from '../contracts/region-summary.js';
import {memberKey} from './member-key.js';
import {RegionTable} from './region-table.js';
import {rendezvousOrder} from './rendezvous-order.js';
import {type SeededRandom} from './seeded-random.js';
import {UpdateQueue} from './update-queue.js';
import {hashText} from './hash-text.js';

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

type Entry = MemberUpdate & {readonly sinceMs: number};

/** Lists made from the entries when they are asked for, and kept until an entry changes. */
type View = {
	/** Members thought alive, without this process. */
	others?: readonly Member[];
	alive?: readonly Member[];
	staying?: readonly Member[];
	/** The staying members in the region's order of delegates. */
	order?: readonly Member[];
};

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
/** Hosts of a region that other regions are told of. */
const summaryHosts = 8;
/** Other regions that a delegate speaks with in one period. */
const regionsPerPeriod = 2;
/** Hosts of a region that speak with other regions. */
const delegates = 2;
/** Time for which a dead member is remembered, in milliseconds. */
const tombstoneMs = 60_000;
/** Shortest time between two synchronisations, in milliseconds. */
const syncIntervalMs = 5000;
const hashRange = 2 ** 32;
const statusRank = {alive: 0, suspect: 1, dead: 2} as const;

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
	readonly #entries = new Map<string, Entry>();
	readonly #queue = new UpdateQueue<MemberUpdate>();
	readonly #regions: RegionTable;
	readonly #relayed = new Map<number, {readonly address: string; readonly seq: number; readonly expiresMs: number}>();
	readonly #doubted = new Set<string>();
	/** Keys of the suspect and the dead. */
	readonly #unwell = new Set<string>();
	#hints: readonly string[] = [];
	#foreignHints = new Map<string, readonly string[]>();
	#rounds: string[] = [];
	#probe: Probe | undefined;
	/** Every other probe goes to a suspect, if there is one. */
	#isSuspectTurn = false;
	#nextProbeMs = 0;
	#lastTickMs: number | undefined;
	#lastSyncMs = Number.NEGATIVE_INFINITY;
	#seq = 0;
	#regionTurn = 0;
	#incarnation = 0;
	#isLeaving = false;
	#rejoinSinceMs: number | undefined;
	#revision = 0;
	#viewHash = 0;
	#view: View = {};

	constructor(options: MembershipOptions, self: Member, random: SeededRandom) {
		this.#options = options;
		this.#self = self;
		this.#selfKey = memberKey(self);
		this.#random = random;
		this.#seq = random.below(1_000_000_000);
		this.#regions = new RegionTable(self.region);
		this.#viewHash = this.#hashOf(this.#selfUpdate());
	}

	/** Incarnation of this process. */
	get incarnation(): number {
		return this.#incarnation;
	}

	get self(): Member {
		return this.#self;
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/** Members of the region that are thought alive, this process included, in an order common to all. */
	alive(): readonly Member[] {
		this.#view.alive ??= [this.#self, ...this.#othersAlive()].toSorted((a, b) => (memberKey(a) < memberKey(b) ? -1 : 1));
		return this.#view.alive;
	}

	/** Members of the region that may take on new work: alive and not leaving. */
	staying(): readonly Member[] {
		this.#view.staying ??= this.alive().filter(member => !this.isMemberLeaving(memberKey(member)));
		return this.#view.staying;
	}

	/** Whether a member of the region is in a planned stop. */
	isMemberLeaving(key: string): boolean {
		return key === this.#selfKey ? this.#isLeaving : this.#entries.get(key)?.isLeaving ?? false;
	}

	/** Status of a member of the region; `undefined` for one never heard of or long dead. */
	statusOf(key: string): MemberUpdate['status'] | undefined {
		return key === this.#selfKey ? 'alive' : this.#entries.get(key)?.status;
	}

	/** Everything known of the region's members. */
	updates(): MemberUpdate[] {
		return [this.#selfUpdate(), ...[...this.#entries.values()].map(entry => toUpdate(entry))];
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
		const order = this.#order();
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
		const peers = this.#random.sample(this.#othersAlive(), newsFanOut);
		const news = peers.map(member => this.#send(member.peers, {kind: 'news', ...this.#common(0)}));
		return this.isDelegate() ? [...news, ...this.#reachableRegions().flatMap(region => this.#askRegion(region))] : news;
	}

	/** Addresses from the platform's list at which daemons may be found. */
	setHints(own: readonly string[], foreign: ReadonlyMap<string, readonly string[]>): void {
		this.#hints = own.filter(address => address !== this.#self.peers);
		this.#foreignHints = new Map(foreign);
	}

	/** Announces a planned stop, or takes it back. */
	setLeaving(isLeaving: boolean): MembershipEffect[] {
		this.#isLeaving = isLeaving;
		this.#view = {};
		this.#raiseIncarnation();
		return [{kind: 'changed'}, ...this.#spreadNow()];
	}

	/** Announces that this process is about to end. */
	leave(): MembershipEffect[] {
		const update: MemberUpdate = {...this.#selfUpdate(), incarnation: this.#incarnation + 1, status: 'dead'};
		this.#queue.add(this.#selfKey, update);
		return this.#spreadNow();
	}

	/** Takes in proof that a member did not accept a connection: it is suspected at once. */
	reportRefused(key: string, nowMs: number): MembershipEffect[] {
		const entry = this.#entries.get(key);
		return entry?.status === 'alive' ? this.#suspect(toUpdate(entry), nowMs) : [];
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
			effects.push(...this.#startProbe(nowMs), ...this.#exchangeRegions());
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
				const entry = this.#entries.get(message.gone);
				return entry === undefined ? [] : this.#apply({...toUpdate(entry), status: 'dead'}, nowMs);
			}

			case 'news': {
				return [];
			}

			case 'region': {
				return this.#answerRegion(message, nowMs);
			}
		}
	}

	/** Sends the other region its due: the own summary if it knows another one, and the news of what is known here. */
	#answerRegion(message: GossipMessage & {kind: 'region'}, nowMs: number): MembershipEffect[] {
		this.#regions.touch(message.region, nowMs);
		this.#regions.noteVersion(message.knownVersion, message.knownHash);
		const isKnown = message.knownHash === this.#regions.ownMark(this.#summaryHosts()).hash;
		const isDue = message.step === 0 || (message.step === 1 && !isKnown);
		return isDue ? [this.#regionMessage(message.address, message.region, message.step + 1, !isKnown)] : [];
	}

	#takeAck(seq: number, nowMs: number): MembershipEffect[] {
		const relay = this.#relayed.get(seq);
		if (relay !== undefined) {
			this.#relayed.delete(seq);
			return [this.#send(relay.address, {kind: 'ack', seq: relay.seq, ...this.#common()})];
		}

		const probe = this.#probe;
		if (probe?.seq === seq) {
			this.#doubted.delete(probe.key);
			this.#probe = undefined;
			if (this.#rejoinSinceMs !== undefined && probe.startMs >= this.#rejoinSinceMs && nowMs >= probe.startMs) {
				this.#rejoinSinceMs = undefined;
				return [{kind: 'changed'}];
			}
		}

		return [];
	}

	#compareViews(message: GossipMessage, nowMs: number): MembershipEffect[] {
		const isKnown = this.#entries.has(message.from);
		const isDue = nowMs - this.#lastSyncMs >= (isKnown ? syncIntervalMs : this.#options.periodMs);
		const isQuiet = this.#queue.size === 0;
		if (message.viewHash === this.#viewHash || !isDue || (isKnown && !isQuiet)) {
			return [];
		}

		this.#lastSyncMs = nowMs;
		return [{kind: 'sync', address: message.address}];
	}

	/** Probes one member; when none is known yet, an address from the hints. */
	#startProbe(nowMs: number): MembershipEffect[] {
		const key = this.#nextTarget();
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

		const known = new Set([...this.#entries.values()].filter(entry => entry.status !== 'dead').map(entry => entry.member.peers));
		const strangers = this.#hints.filter(address => !known.has(address));
		return this.#random.sample(strangers, 1).map(address => this.#send(address, {
			kind: 'ping', seq: this.#nextSeq(), to: '', ...this.#common(),
		}));
	}

	#nextTarget(): string | undefined {
		for (const key of this.#doubted) {
			if (this.#entries.get(key)?.status === 'alive') {
				return key;
			}

			this.#doubted.delete(key);
		}

		this.#isSuspectTurn = !this.#isSuspectTurn;
		const suspects = this.#isSuspectTurn ? [...this.#entries].filter(([, entry]) => entry.status === 'suspect') : [];
		if (suspects.length > 0) {
			return this.#random.sample(suspects, 1)[0]![0];
		}

		for (let attempt = 0; attempt < 2; attempt++) {
			while (this.#rounds.length > 0) {
				const key = this.#rounds.pop()!;
				const status = this.#entries.get(key)?.status;
				if (status === 'alive' || status === 'suspect') {
					return key;
				}
			}

			const keys = [...this.#entries.keys()];
			this.#rounds = this.#random.sample(keys, keys.length);
		}

		return undefined;
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
		const entry = this.#entries.get(probe.key);
		if (entry?.status !== 'alive') {
			return [];
		}

		if (!this.#doubted.has(probe.key)) {
			this.#doubted.add(probe.key);
			return [];
		}

		this.#doubted.delete(probe.key);
		return this.#suspect(toUpdate(entry), nowMs);
	}

	/** Suspects a member and tells it so at once, so that it can refute before the time runs out. */
	#suspect(update: MemberUpdate, nowMs: number): MembershipEffect[] {
		const suspicion: MemberUpdate = {...update, status: 'suspect'};
		const effects = this.#apply(suspicion, nowMs);
		const message: GossipMessage = {kind: 'news', ...this.#common(0), updates: [suspicion]};
		return [...effects, this.#send(update.member.peers, message), ...this.#spreadNow()];
	}

	#ping(probe: Probe): MembershipEffect[] {
		const entry = this.#entries.get(probe.key);
		if (entry === undefined) {
			return [];
		}

		const common = this.#common();
		const updates = entry.status === 'suspect' ? [toUpdate(entry), ...common.updates.slice(1)] : common.updates;
		return [this.#send(entry.member.peers, {
			kind: 'ping', seq: probe.seq, to: probe.key, ...common, updates,
		})];
	}

	#pingIndirectly(probe: Probe): MembershipEffect[] {
		const entry = this.#entries.get(probe.key);
		if (entry === undefined) {
			return [];
		}

		const helpers = this.#random.sample(this.#othersAlive().filter(member => memberKey(member) !== probe.key), indirectProbes);
		return helpers.map(helper => this.#send(helper.peers, {
			kind: 'ping-req', seq: probe.seq, target: probe.key, targetAddress: entry.member.peers, ...this.#common(),
		}));
	}

	/** Turns suspicion that was not refuted into death, and forgets the long dead. */
	#expire(nowMs: number): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		const suspicionMs = this.#options.suspicionPeriods * this.#options.periodMs * Math.max(1, Math.log10(this.#entries.size + 1));
		for (const key of this.#unwell) {
			const entry = this.#entries.get(key)!;
			if (entry.status === 'suspect' && nowMs - entry.sinceMs >= suspicionMs) {
				effects.push(...this.#apply({...toUpdate(entry), status: 'dead'}, nowMs));
			} else if (entry.status === 'dead' && nowMs - entry.sinceMs >= tombstoneMs) {
				this.#entries.delete(key);
				this.#unwell.delete(key);
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

		if (update.member.region !== this.#self.region) {
			return [];
		}

		const current = this.#entries.get(key);
		if (!isNewer(update, current) || (current === undefined && update.status === 'dead')) {
			return [];
		}

		this.#rehash(current, update);
		this.#entries.set(key, {...update, sinceMs: nowMs});
		if (update.status === 'alive') {
			this.#unwell.delete(key);
		} else {
			this.#unwell.add(key);
		}

		this.#view = {};
		this.#queue.add(key, update);
		this.#doubted.delete(key);
		this.#retireOlderLives(update, nowMs);
		return [{kind: 'changed'}];
	}

	/** A host has one process: a new life at the same address ends the earlier one. */
	#retireOlderLives(update: MemberUpdate, nowMs: number): void {
		if (update.status !== 'alive') {
			return;
		}

		for (const entry of this.#entries.values()) {
			const isOtherLife = entry.member.id === update.member.id && entry.member.boot !== update.member.boot;
			if (isOtherLife && entry.status === 'suspect') {
				this.#apply({...toUpdate(entry), status: 'dead'}, nowMs);
			}
		}
	}

	/** Refutes what others think of this process by a higher incarnation. */
	#defend(update: MemberUpdate): MembershipEffect[] {
		const isTrue = update.status === 'alive' && update.isLeaving === this.#isLeaving;
		if (update.incarnation < this.#incarnation || (isTrue && update.incarnation === this.#incarnation)) {
			return [];
		}

		this.#incarnation = update.incarnation;
		this.#raiseIncarnation();
		return this.#spreadNow();
	}

	#raiseIncarnation(): void {
		const before = this.#selfUpdate();
		this.#incarnation++;
		this.#rehash(before, this.#selfUpdate());
		this.#queue.add(this.#selfKey, this.#selfUpdate());
	}

	#isPaused(nowMs: number): boolean {
		return this.#lastTickMs !== undefined && nowMs - this.#lastTickMs > this.#options.pauseLimitMs;
	}

	/** After a pause others may hold this process for dead: it speaks up with a new incarnation first. */
	#wake(nowMs: number): MembershipEffect[] {
		this.#rejoinSinceMs = nowMs;
		this.#probe = undefined;
		this.#nextProbeMs = nowMs;
		this.#raiseIncarnation();
		return [{kind: 'changed'}, ...this.#spreadNow()];
	}

	/** With nobody left to ask, a paused process goes on alone after the time that suspicion takes. */
	#endLonelyRejoin(nowMs: number): void {
		const limitMs = this.#options.suspicionPeriods * this.#options.periodMs;
		if (this.#rejoinSinceMs !== undefined && this.#othersAlive().length === 0 && nowMs - this.#rejoinSinceMs >= limitMs) {
			this.#rejoinSinceMs = undefined;
		}
	}

	#spreadNow(): MembershipEffect[] {
		return this.#random.sample(this.#othersAlive(), newsFanOut).map(member => this.#send(member.peers, {kind: 'news', ...this.#common()}));
	}

	/** Speaks with a few other regions in turn. */
	#exchangeRegions(): MembershipEffect[] {
		if (!this.isDelegate()) {
			return [];
		}

		const regions = this.#reachableRegions();
		const first = this.#regionTurn;
		this.#regionTurn += regionsPerPeriod;
		const count = Math.min(regionsPerPeriod, regions.length);
		return Array.from({length: count}, (_, index) => regions[(first + index) % regions.length]!).flatMap(region => this.#askRegion(region));
	}

	#reachableRegions(): string[] {
		const regions = new Set([...this.#regions.names(), ...this.#foreignHints.keys()]);
		regions.delete(this.#self.region);
		return [...regions].toSorted();
	}

	#askRegion(region: string): MembershipEffect[] {
		const known = this.#regions.hostsOf(region).map(member => member.peers);
		const hints = this.#foreignHints.get(region) ?? [];
		const candidates = known.length > 0 && this.#random.below(4) > 0 ? known : [...known, ...hints];
		const [address] = this.#random.sample(candidates, 1);
		return address === undefined ? [] : [this.#regionMessage(address, region, 0, false)];
	}

	#regionMessage(address: string, region: string, step: number, isTold: boolean): MembershipEffect {
		const own = this.#regions.ownMark(this.#summaryHosts());
		const known = this.#regions.knownOf(region);
		return this.#send(address, {
			kind: 'region',
			step,
			region: this.#self.region,
			ownVersion: own.version,
			ownHash: own.hash,
			knownVersion: known.version,
			knownHash: known.hash,
			...this.#common(0),
			summaries: isTold ? [this.#regions.own(this.#summaryHosts())] : [],
		});
	}

	#takeSummary(summary: RegionSummary, nowMs: number): MembershipEffect[] {
		if (!this.#regions.take(summary, nowMs, this.#transmitLimit())) {
			return [];
		}

		return [{kind: 'changed'}];
	}

	#summaryHosts(): readonly Member[] {
		return this.#order().slice(0, summaryHosts);
	}

	#othersAlive(): readonly Member[] {
		this.#view.others ??= [...this.#entries.values()].filter(entry => entry.status === 'alive').map(entry => entry.member);
		return this.#view.others;
	}

	#order(): readonly Member[] {
		this.#view.order ??= rendezvousOrder('delegate', this.staying(), memberKey);
		return this.#view.order;
	}

	#selfUpdate(): MemberUpdate {
		return {
			member: this.#self, incarnation: this.#incarnation, status: 'alive', isLeaving: this.#isLeaving,
		};
	}

	#transmitLimit(): number {
		return 3 * Math.ceil(Math.log10(this.#entries.size + 2) + 1);
	}

	#common(updates = updatesPerMessage): Omit<GossipMessage & {kind: 'news'}, 'kind'> {
		return {
			from: this.#selfKey,
			address: this.#self.peers,
			revision: this.#revision,
			viewHash: this.#viewHash,
			updates: updates === 0 ? [] : this.#queue.take(updates, this.#transmitLimit()),
			summaries: updates === 0 ? [] : this.#regions.takeNews(summariesPerMessage),
		};
	}

	/** Keeps the view's hash, a sum over its entries, after one of them changed. */
	#rehash(before: MemberUpdate | undefined, after: MemberUpdate): void {
		const removed = before === undefined ? 0 : this.#hashOf(before);
		this.#viewHash = (this.#viewHash + hashRange + this.#hashOf(after) - removed) % hashRange;
	}

	/** The dead count for nothing: hosts forget them at different times. */
	#hashOf(update: MemberUpdate): number {
		return update.status === 'dead' ? 0 : hashText(`${memberKey(update.member)}|${update.incarnation}|${update.status}|${update.isLeaving}`);
	}

	#nextSeq(): number {
		this.#seq++;
		return this.#seq;
	}

	#send(address: string, message: GossipMessage): MembershipEffect {
		return {kind: 'send', address, message};
	}
}

function toUpdate(entry: Entry): MemberUpdate {
	return {
		member: entry.member, incarnation: entry.incarnation, status: entry.status, isLeaving: entry.isLeaving,
	};
}

function isNewer(update: MemberUpdate, current: Entry | undefined): boolean {
	if (current === undefined || update.incarnation > current.incarnation) {
		return true;
	}

	return update.incarnation === current.incarnation && statusRank[update.status] > statusRank[current.status];
}

import {type GossipMessage} from '../contracts/gossip-message.js';
import {type Member} from '../contracts/member.js';
import {type MemberUpdate} from '../contracts/member-update.js';
import {type RegionSummary} from '../contracts/region-summary.js';
import {type StoreVersion} from '../contracts/store-version.js';
import {compareVersions} from './compare-versions.js';
import {contactTargets} from './contact-targets.js';
import {memberKey} from './member-key.js';
import {MemberTable} from './member-table.js';
import {type MembershipEffect} from './membership-effect.js';
import {newsFor} from './news-for.js';
import {ProbeBreadth} from './probe-breadth.js';
import {ProbeTargets} from './probe-targets.js';
import {RefutationWindow} from './refutation-window.js';
import {RegionExchange} from './region-exchange.js';
import {type SeededRandom} from './seeded-random.js';
import {UpdateQueue} from './update-queue.js';

type MembershipOptions = {
	readonly periodMs: number;
	readonly probeTimeoutMs: number;
	/** Duration of a suspicion in periods; in regions of more than ten members it is multiplied by log10 of the region's size. */
	readonly suspicionPeriods: number;
	/** A longer gap between two ticks means that the process was paused. */
	readonly pauseLimitMs: number;
};

type News = GossipMessage & {kind: 'news'};
type ChangesPart = {readonly isRelayed: boolean; readonly partIndex: number; readonly partCount: number; readonly partData: Uint8Array};

type Probe = {
	readonly key: string;
	readonly seq: number;
	startMs: number;
	stage: 'direct' | 'repeated' | 'indirect';
	/** Whether a time in which this process did not run was left out; once, so that a process that is always slow still detects failures. */
	isExtended?: boolean;
};

/** Number of member updates in one datagram; keeps its size below 1,400 bytes. */
const updatesPerMessage = 6;
const summariesPerMessage = 1;
/** Number of members that are asked to probe a member that has not acknowledged a direct probe. */
const indirectProbeCount = 3;
/** Number of probes in progress from which only one member is asked for each: most of those asked are lost, too. */
const manyProbes = 8;
/** Number of random members that receive an update immediately. */
const updateFanOutMembers = 3;
/** Largest number of members of the region that a watcher or delegate notifies directly. */
const regionFanOutMembers = 200;
/** Bytes that a watcher sends at once to spread changes: a tenth of a second of a link of 10 Mbit/s. */
const maxDirectBytes = 125_000;
/** Number of members of a region that exchange summaries with other regions. */
const delegatesPerRegion = 2;
/** Time for which the entry of a dead member is kept. */
const tombstoneMs = 60_000;
/** Age, in periods, from which a process may act for its region. */
const minActingAgePeriods = 3;
/** Time for members to refute what this process concluded while it may have been cut off, in periods; several round trips. */
const refutationPeriods = 2;
/** Shortest time between two exchanges of complete views with known members. */
const minSyncIntervalMs = 5000;

/**
 * Tracks the members of one region by SWIM-style probing with suspicion and incarnations, and the hosts of the other
 * regions by summaries that delegates exchange. Each process of a host is a separate member.
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
	readonly #refutations: RefutationWindow;
	/** Probes sent on behalf of other members, by the sequence number used here. */
	readonly #relayedProbes = new Map<number, {readonly address: string; readonly seq: number; readonly expiresMs: number}>();
	#listedAddresses: readonly string[] = [];
	readonly #breadth = new ProbeBreadth();
	/** Probes in progress, by sequence number. */
	readonly #probes = new Map<number, Probe>();
	#nextProbeMs = 0;
	#startMs: number | undefined;
	#lastTickMs: number | undefined;
	#lastSyncMs = Number.NEGATIVE_INFINITY;
	#seq = 0;
	/** Time at which this process resumed after a pause; `undefined` once a peer has acknowledged a probe sent since then. */
	#resumedMs: number | undefined;
	#version: StoreVersion = {era: 0, revision: 0};

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
		this.#refutations = new RefutationWindow(refutationPeriods * options.periodMs);
		this.#regions = new RegionExchange(self.region, random, () => this.#table.delegateOrder());
	}

	/** Current incarnation of this process. */
	get incarnation(): number {
		return this.#table.self.incarnation;
	}

	get self(): Member {
		return this.#self;
	}

	get isLeaving(): boolean {
		return this.#table.self.isLeaving;
	}

	/** Largest number of members that are probed in the present period. */
	get probeBreadth(): number {
		return this.#breadth.count;
	}

	/** Returns the members of the region that are considered alive, including this one, in the same order at every member. */
	alive(): readonly Member[] {
		return this.#table.alive();
	}

	/** Returns the members of the region that may be assigned new requests: alive and not in a planned stop. */
	candidates(): readonly Member[] {
		return this.#table.candidates();
	}

	/** Returns whether a member of the region is in a planned stop. */
	isMemberLeaving(key: string): boolean {
		return this.#table.isLeaving(key);
	}

	/** Returns the status of a member of the region, or `undefined` if it is unknown or its entry has been evicted. */
	statusOf(key: string): MemberUpdate['status'] | undefined {
		return key === this.#selfKey ? 'alive' : this.#table.get(key)?.status;
	}

	/** Returns the entries of all members of the region, without those that are withheld. */
	updates(): MemberUpdate[] {
		return this.#table.updates().filter(({member}) => !this.#refutations.isWithheld(memberKey(member)));
	}

	/** Returns the known hosts of another region. */
	hostsOf(region: string): readonly Member[] {
		return this.#regions.hostsOf(region);
	}

	/** Returns the other regions whose summary is known. */
	otherRegions(): readonly string[] {
		return this.#regions.regions();
	}

	/** Returns the time since the last message from another region, in milliseconds. */
	msSinceContact(region: string, nowMs: number): number {
		return this.#regions.msSinceContact(region, nowMs);
	}

	/** Returns whether this process is one of the delegates, which exchange summaries with other regions and watch the store. */
	isDelegate(): boolean {
		return this.delegateRank() < delegatesPerRegion;
	}

	/** Returns the position of this process in the region's order of delegates, starting at 0. */
	delegateRank(): number {
		return this.#delegateRankOf(this.#selfKey);
	}

	/**
	 * Returns whether this process may decide for others. After a pause it may not until a peer has acknowledged a probe
	 * sent after the pause, because other members may have taken over the services that it owned.
	 */
	isConfident(nowMs: number): boolean {
		return this.#resumedMs === undefined && !this.#isPaused(nowMs);
	}

	/**
	 * Returns whether this process may act for its region: its view is reliable, and it has existed for some periods. Before
	 * that, the region may still count on the former process of this host, and this one may not know hosts that started with it.
	 */
	mayActForRegion(nowMs: number): boolean {
		const ageMs = this.#startMs === undefined ? 0 : nowMs - this.#startMs;
		return ageMs >= minActingAgePeriods * this.#options.periodMs && this.isConfident(nowMs);
	}

	/**
	 * Sets the version in force at this process, which every datagram carries, and reports it: to the whole region if this
	 * process watches the store or is a delegate, otherwise to a few members.
	 */
	setVersion(version: StoreVersion, isWatching = false): MembershipEffect[] {
		this.#version = version;
		// Members whose notification was lost receive the version with the datagrams of other members.
		const peers = this.#random.sample(this.#table.aliveOthers(), isWatching || this.isDelegate() ? regionFanOutMembers : updateFanOutMembers);
		const notifications = peers.map(member => this.#send(member.peers, newsFor(member, this.#commonFields(0))));
		return this.isDelegate() ? [...notifications, ...this.#sendToRegions(this.#regions.allMessages())] : notifications;
	}

	/** Sets the version in force at this process, of which the region hears otherwise: a watcher spread the changes that led up to it. */
	setSpreadVersion(version: StoreVersion): MembershipEffect[] {
		this.#version = version;
		return this.isDelegate() ? this.#sendToRegions(this.#regions.allMessages()) : [];
	}

	/** Tells the region that the store, which this process watches, has just answered it, and whether this process has all changes. */
	reportStoreContact(hasAllChanges = true): MembershipEffect[] {
		const {direct} = contactTargets(this.#selfKey, this.#selfKey, this.alive());
		return this.#sendContact(direct, this.#selfKey, hasAllChanges ? this.#version : {...this.#version, revision: 0});
	}

	/**
	 * Spreads the changes up to a version that the store has just told this process, which watches it, in the region; `parts` are those of their
	 * encoding. All members receive them from this process, unless that would hold up its link; then some members relay them.
	 */
	spreadChanges(version: StoreVersion, parts: readonly Uint8Array[]): MembershipEffect[] {
		const others = this.#table.aliveOthers();
		const bytes = parts.reduce((total, {byteLength}) => total + byteLength, 0);
		const isRelayed = others.length * bytes > maxDirectBytes;
		const members = isRelayed ? contactTargets(this.#selfKey, this.#selfKey, this.alive()).direct : others;
		return parts.flatMap((partData, partIndex) => this.#sendContact(members, this.#selfKey, version, {
			isRelayed, partIndex, partCount: parts.length, partData,
		}));
	}

	/** Sets the daemon addresses from the platform's host list, for the own region and by other region. */
	setListedAddresses(own: readonly string[], foreign: ReadonlyMap<string, readonly string[]>): void {
		this.#listedAddresses = own.filter(address => address !== this.#self.peers);
		this.#regions.setListedAddresses(foreign);
	}

	/** Returns how busy the host of a member of the region is: 0 for one with room, or if it is unknown. */
	busyLevelOf(key: string): number {
		return this.#table.busyLevelOf(key);
	}

	/** Announces how busy this host is, from 0 for a host with room; sends nothing if the level is the present one. */
	setBusyLevel(level: number): MembershipEffect[] {
		const {self} = this.#table;
		if (level === (self.busyLevel ?? 0)) {
			return [];
		}

		// Level 0 is the absence of the field, which makes the update of a host with room as short as before.
		this.#setSelfUpdate({...self, incarnation: self.incarnation + 1, busyLevel: level === 0 ? undefined : level});
		return [{kind: 'changed'}, ...this.#sendUpdates()];
	}

	/** Announces a planned stop, or its cancellation. */
	setLeaving(isLeaving: boolean): MembershipEffect[] {
		this.#setSelf(this.incarnation + 1, isLeaving);
		return [{kind: 'changed'}, ...this.#sendUpdates()];
	}

	/** Announces that this process is about to end. */
	leave(): MembershipEffect[] {
		const update: MemberUpdate = {...this.#table.self, incarnation: this.incarnation + 1, status: 'dead'};
		this.#queue.add(this.#selfKey, update);
		return this.#sendUpdates();
	}

	/** Suspects a member immediately because it refused a connection. */
	recordRefusedConnection(key: string, nowMs: number): MembershipEffect[] {
		const update = this.#table.updateOf(key);
		return update?.status === 'alive' ? this.#suspect(update, nowMs) : [];
	}

	/** Merges the complete view of another daemon, whose own entry comes first. */
	merge(updates: readonly MemberUpdate[], nowMs: number): MembershipEffect[] {
		const [sender] = updates;
		const contests = sender === undefined ? [] : this.#contest(memberKey(sender.member), nowMs);
		return [...contests, ...updates.flatMap(update => this.#apply(update, nowMs))];
	}

	/** Advances the failure detector; must be called several times per period. */
	tick(nowMs: number): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		if (this.#isPaused(nowMs)) {
			effects.push(...this.#resumeAfterPause(nowMs));
		}

		this.#extendProbes(nowMs);
		this.#lastTickMs = nowMs;
		this.#startMs ??= nowMs;
		this.#endWaitWithoutPeers(nowMs);
		this.#releaseConclusions(nowMs);
		effects.push(...this.#expire(nowMs), ...this.#advanceProbes(nowMs));
		if (nowMs >= this.#nextProbeMs) {
			this.#nextProbeMs = nowMs + this.#options.periodMs;
			effects.push(...this.#startProbes(nowMs), ...(this.isDelegate() ? this.#sendToRegions(this.#regions.nextMessages()) : []));
		}

		return effects;
	}

	/** Processes a received datagram. */
	receive(message: GossipMessage, nowMs: number): MembershipEffect[] {
		if (message.from === this.#selfKey) {
			return [];
		}

		const effects = this.#contest(message.from, nowMs);
		effects.push(...message.updates.flatMap(update => this.#apply(update, nowMs)));
		for (const summary of message.summaries) {
			effects.push(...this.#applySummary(summary, nowMs));
		}

		const version = {era: message.era ?? 0, revision: message.revision};
		if (compareVersions(version, this.#version) > 0 || (version.era === 0 && this.#version.era > 0)) {
			effects.push({kind: 'revision', version, address: message.address});
		}

		effects.push(...this.#respond(message, nowMs));
		return effects;
	}

	#respond(message: GossipMessage, nowMs: number): MembershipEffect[] {
		switch (message.kind) {
			case 'ping': {
				if (message.to !== this.#selfKey && message.to !== '') {
					return [this.#send(message.address, {kind: 'gone', gone: message.to, ...this.#commonFields()})];
				}

				return [this.#send(message.address, {kind: 'ack', seq: message.seq, ...this.#commonFields()}), ...this.#compareViews(message, nowMs)];
			}

			case 'ack': {
				return [...this.#receiveAck(message.seq, nowMs), ...this.#compareViews(message, nowMs)];
			}

			case 'ping-req': {
				const seq = this.#nextSeq();
				this.#relayedProbes.set(seq, {address: message.address, seq: message.seq, expiresMs: nowMs + this.#options.periodMs});
				return [this.#send(message.targetAddress, {
					kind: 'ping', seq, to: message.target, ...this.#commonFields(),
				})];
			}

			case 'gone': {
				const update = this.#table.updateOf(message.gone);
				return update === undefined ? [] : this.#apply({...update, status: 'dead'}, nowMs);
			}

			case 'news': {
				return this.#receiveContact(message);
			}

			case 'region': {
				return this.#sendToRegions(this.#regions.respond(message, nowMs));
			}
		}
	}

	#receiveAck(seq: number, nowMs: number): MembershipEffect[] {
		const relay = this.#relayedProbes.get(seq);
		if (relay !== undefined) {
			this.#relayedProbes.delete(seq);
			return [this.#send(relay.address, {kind: 'ack', seq: relay.seq, ...this.#commonFields()})];
		}

		const probe = this.#probes.get(seq);
		if (probe !== undefined) {
			this.#targets.clearFailure(probe.key);
			this.#probes.delete(seq);
			this.#breadth.recordSuccess();
			if (this.#resumedMs !== undefined && probe.startMs >= this.#resumedMs && nowMs >= probe.startMs) {
				this.#resumedMs = undefined;
				return [{kind: 'changed'}];
			}
		}

		return [];
	}

	#receiveContact({
		from, address, contactOf, contactRevision, contactEra = 0, isRelayed = true, partIndex, partCount, partData,
	}: News): MembershipEffect[] {
		if (contactOf === undefined || contactRevision === undefined || contactOf === this.#selfKey) {
			return [];
		}

		// Only what the watcher itself sent is relayed, so that differing views of the region cannot form a loop.
		const relayed = from === contactOf && isRelayed ? contactTargets(contactOf, this.#selfKey, this.alive()).relayed : [];
		const version = {era: contactEra, revision: contactRevision};
		const part = toPart({
			isRelayed, partIndex, partCount, partData,
		});
		// With changes, which may have been on their way to the watcher for long, the contact only tells that the store answers it.
		const contact = part === undefined ? version : {...version, revision: 0};
		const effects: MembershipEffect[] = [...this.#sendContact(relayed, contactOf, version, part), {kind: 'store_contact', version: contact, rank: this.#delegateRankOf(contactOf)}];
		if (part !== undefined) {
			effects.push({
				kind: 'changes_part', origin: contactOf, address: this.#table.get(contactOf)?.member.peers ?? address, version, index: part.partIndex, count: part.partCount, data: part.partData,
			});
		}

		return effects;
	}

	#sendContact(members: readonly Member[], contactOf: string, {era, revision}: StoreVersion, part?: ChangesPart): MembershipEffect[] {
		// The eras precede the part on the wire, and that of the sender the one of the contact, so that they are sent even if they are 0.
		const eras = (era > 0 || part !== undefined) && {era: this.#version.era, contactEra: era};
		const message: GossipMessage = {
			kind: 'news', ...this.#commonFields(0), contactOf, contactRevision: revision, ...eras, ...part,
		};
		return members.map(member => this.#send(member.peers, message));
	}

	/** Requests an exchange of complete views if the sender's view differs and the last exchange is long enough ago. */
	#compareViews(message: GossipMessage, nowMs: number): MembershipEffect[] {
		const isKnown = this.#table.get(message.from) !== undefined;
		const isDue = nowMs - this.#lastSyncMs >= (isKnown ? minSyncIntervalMs : this.#options.periodMs);
		const isQueueEmpty = this.#queue.size === 0;
		if (message.viewHash === this.#table.hash || !isDue || (isKnown && !isQueueEmpty)) {
			return [];
		}

		this.#lastSyncMs = nowMs;
		return [{kind: 'sync', address: message.address}];
	}

	/** Probes as many members as are due or, if none is known, an address from the host list. */
	#startProbes(nowMs: number): MembershipEffect[] {
		const keys = this.#targets.next(this.#breadth.next());
		if (keys.length === 0) {
			const listedAddress = this.#random.sample(this.#listedAddresses, 1)[0];
			return listedAddress === undefined
				? []
				: [this.#pingAddress(listedAddress)];
		}

		const pings = keys.flatMap(key => {
			const probe: Probe = {
				key, seq: this.#nextSeq(), startMs: nowMs, stage: 'direct',
			};
			this.#probes.set(probe.seq, probe);
			return this.#ping(probe);
		});
		return [...pings, ...this.#probeUnknownAddress()];
	}

	/** Occasionally probes a listed address that belongs to no known member, so that the sides of a partition find each other again. */
	#probeUnknownAddress(): MembershipEffect[] {
		if (this.#random.below(5) !== 0) {
			return [];
		}

		const known = new Set(this.#table.updates().filter(update => update.status !== 'dead').map(update => update.member.peers));
		const unknownAddresses = this.#listedAddresses.filter(address => !known.has(address));
		return this.#random.sample(unknownAddresses, 1).map(address => this.#pingAddress(address));
	}

	/** Probes whatever process listens at an address. If others are suspected or dead, it is told nothing about them, for the same reason as a suspect. */
	#pingAddress(address: string): MembershipEffect {
		const fields = this.#table.suspectsAndDead.size > 0 ? {...this.#commonFields(0), updates: [this.#table.self]} : this.#commonFields();
		return this.#send(address, {
			kind: 'ping', seq: this.#nextSeq(), to: '', ...fields,
		});
	}

	/** Does not count the time in which this process did not run: acknowledgements may have arrived that it has not read. */
	#extendProbes(nowMs: number): void {
		const gapMs = nowMs - (this.#lastTickMs ?? nowMs);
		if (gapMs >= this.#options.periodMs / 2) {
			for (const probe of this.#probes.values()) {
				probe.startMs += probe.isExtended === true ? 0 : gapMs;
				probe.isExtended = true;
			}
		}
	}

	#advanceProbes(nowMs: number): MembershipEffect[] {
		return [...this.#probes.values()].flatMap(probe => this.#advanceProbe(probe, nowMs));
	}

	#advanceProbe(probe: Probe, nowMs: number): MembershipEffect[] {
		const ageMs = nowMs - probe.startMs;
		if (ageMs >= this.#options.periodMs * 0.9) {
			this.#probes.delete(probe.seq);
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

	/** Records a failed probe; the second consecutive failure raises a suspicion. */
	#failProbe(probe: Probe, nowMs: number): MembershipEffect[] {
		const update = this.#table.updateOf(probe.key);
		if (update?.status !== 'alive') {
			return [];
		}

		this.#breadth.recordFailure();
		return this.#targets.recordFailure(probe.key) ? this.#suspect(update, nowMs) : [];
	}

	/** Suspects a member and notifies it immediately, so that it can refute the suspicion before it expires. */
	#suspect(update: MemberUpdate, nowMs: number): MembershipEffect[] {
		const suspicion: MemberUpdate = {...update, status: 'suspect'};
		const effects = this.#apply(suspicion, nowMs);
		const message = newsFor(update.member, {...this.#commonFields(0), updates: [suspicion]});
		return [...effects, this.#send(update.member.peers, message), ...this.#sendUpdates()];
	}

	#ping(probe: Probe): MembershipEffect[] {
		const target = this.#table.updateOf(probe.key);
		if (target === undefined) {
			return [];
		}

		// A suspect may be on the other side of a cut, where all else that this process knows may be wrong.
		const fields = target.status === 'suspect' ? {...this.#commonFields(0), updates: [target, this.#table.self]} : this.#commonFields();
		return [this.#send(target.member.peers, {
			kind: 'ping', seq: probe.seq, to: probe.key, ...fields,
		})];
	}

	#pingIndirectly(probe: Probe): MembershipEffect[] {
		const target = this.#table.updateOf(probe.key);
		if (target === undefined) {
			return [];
		}

		const relayCount = this.#probes.size > manyProbes ? 1 : indirectProbeCount;
		const relays = this.#random.sample(this.#table.aliveOthers().filter(member => memberKey(member) !== probe.key), relayCount);
		return relays.map(relay => this.#send(relay.peers, {
			kind: 'ping-req', seq: probe.seq, target: probe.key, targetAddress: target.member.peers, ...this.#commonFields(),
		}));
	}

	/** Declares members dead whose suspicion was not refuted in time, and evicts expired entries of dead members. */
	#expire(nowMs: number): MembershipEffect[] {
		const effects: MembershipEffect[] = [];
		const suspicionMs = this.#options.suspicionPeriods * this.#options.periodMs * Math.max(1, Math.log10(this.#table.size + 1));
		for (const key of this.#table.suspectsAndDead) {
			const {changedMs, ...update} = this.#table.get(key)!;
			if (update.status === 'suspect' && nowMs - changedMs >= suspicionMs) {
				effects.push(...this.#apply({...update, status: 'dead'}, nowMs));
			} else if (update.status === 'dead' && nowMs - changedMs >= tombstoneMs) {
				this.#table.evict(key);
				this.#refutations.clear(key);
			}
		}

		for (const [seq, relay] of this.#relayedProbes) {
			if (nowMs >= relay.expiresMs) {
				this.#relayedProbes.delete(seq);
			}
		}

		return effects;
	}

	#apply(update: MemberUpdate, nowMs: number): MembershipEffect[] {
		const key = memberKey(update.member);
		if (key === this.#selfKey) {
			return this.#refute(update);
		}

		if (update.member.region !== this.#self.region || !this.#table.apply(update, nowMs)) {
			return [];
		}

		this.#queue.add(key, update);
		this.#refutations.clear(key);
		this.#targets.clearFailure(key);
		this.#endReplacedProcesses(update, nowMs);
		return [{kind: 'changed'}];
	}

	/** Declares a suspected process dead if another process of its host is alive, because a host has only one process at a time. */
	#endReplacedProcesses(update: MemberUpdate, nowMs: number): void {
		if (update.status !== 'alive') {
			return;
		}

		for (const key of this.#table.suspectsAndDead) {
			const other = this.#table.updateOf(key)!;
			const isReplaced = other.member.id === update.member.id && other.member.boot !== update.member.boot;
			if (isReplaced && other.status === 'suspect') {
				this.#apply({...other, status: 'dead'}, nowMs);
			}
		}
	}

	/** Refutes a wrong update about this process with a higher incarnation. */
	#refute(update: MemberUpdate): MembershipEffect[] {
		const {self} = this.#table;
		const isAccurate = update.status === 'alive' && update.isLeaving === self.isLeaving;
		if (update.incarnation < self.incarnation || (isAccurate && update.incarnation === self.incarnation)) {
			return [];
		}

		this.#setSelf(update.incarnation + 1, self.isLeaving);
		return this.#sendUpdates();
	}

	#setSelf(incarnation: number, isLeaving: boolean): void {
		this.#setSelfUpdate({...this.#table.self, incarnation, isLeaving});
	}

	#setSelfUpdate(update: MemberUpdate): void {
		this.#table.setSelf(update);
		this.#queue.add(this.#selfKey, update);
	}

	#isPaused(nowMs: number): boolean {
		return this.#lastTickMs !== undefined && nowMs - this.#lastTickMs > this.#options.pauseLimitMs;
	}

	/** Announces a new incarnation after a pause, because other members may have declared this process dead. */
	#resumeAfterPause(nowMs: number): MembershipEffect[] {
		this.#resumedMs = nowMs;
		this.#probes.clear();
		this.#nextProbeMs = nowMs;
		this.#setSelf(this.incarnation + 1, this.isLeaving);
		return [{kind: 'changed'}, ...this.#sendUpdates()];
	}

	/**
	 * A message of a member that counts as suspected or dead here shows that this process may have been cut off from others, too. It asks all of
	 * them, so that those that live refute what it concluded, and withholds it until then.
	 */
	#contest(sender: string, nowMs: number): MembershipEffect[] {
		if (!this.#table.suspectsAndDead.has(sender)) {
			return [];
		}

		return this.#refutations.open([...this.#table.suspectsAndDead], nowMs).flatMap(key => {
			this.#queue.remove(key);
			const update = this.#table.updateOf(key)!;
			return [this.#send(update.member.peers, {
				kind: 'ping', seq: this.#nextSeq(), to: key, ...this.#commonFields(0), updates: [update, this.#table.self],
			})];
		});
	}

	/** Spreads the withheld conclusions that were not refuted in time. */
	#releaseConclusions(nowMs: number): void {
		for (const key of this.#refutations.release(nowMs)) {
			const update = this.#table.updateOf(key);
			if (update !== undefined) {
				this.#queue.add(key, update);
			}
		}
	}

	/** Ends the wait for an acknowledgement after a pause once a suspicion would have expired, if no other member is alive. */
	#endWaitWithoutPeers(nowMs: number): void {
		const limitMs = this.#options.suspicionPeriods * this.#options.periodMs;
		if (this.#resumedMs !== undefined && this.#table.aliveOthers().length === 0 && nowMs - this.#resumedMs >= limitMs) {
			this.#resumedMs = undefined;
		}
	}

	#sendUpdates(): MembershipEffect[] {
		return this.#random.sample(this.#table.aliveOthers(), updateFanOutMembers).map(member => this.#send(member.peers, newsFor(member, this.#commonFields())));
	}

	#sendToRegions(messages: ReturnType<RegionExchange['allMessages']>): MembershipEffect[] {
		return messages.map(({address, fields}) => this.#send(address, {...this.#commonFields(0), ...fields}));
	}

	#applySummary(summary: RegionSummary, nowMs: number): MembershipEffect[] {
		if (!this.#regions.apply(summary, nowMs, this.#transmitLimit())) {
			return [];
		}

		return [{kind: 'changed'}];
	}

	/** Returns how often each update is sent; the number grows with log10 of the region's size. */
	#transmitLimit(): number {
		return 3 * Math.ceil(Math.log10(this.#table.size + 2) + 1);
	}

	#commonFields(updates = updatesPerMessage): Omit<GossipMessage & {kind: 'news'}, 'kind'> {
		return {
			from: this.#selfKey,
			address: this.#self.peers,
			revision: this.#version.revision,
			...(this.#version.era > 0 && {era: this.#version.era}),
			viewHash: this.#table.hash,
			updates: updates === 0 ? [] : this.#queue.take(updates, this.#transmitLimit()),
			summaries: updates === 0 ? [] : this.#regions.takeUpdates(summariesPerMessage),
		};
	}

	#delegateRankOf(key: string): number {
		const order = this.#table.delegateOrder();
		const rank = order.findIndex(member => memberKey(member) === key);
		return rank === -1 ? order.length : rank;
	}

	#nextSeq(): number {
		this.#seq++;
		return this.#seq;
	}

	#send(address: string, message: GossipMessage): MembershipEffect {
		return {kind: 'send', address, message};
	}
}

function toPart({isRelayed, partIndex, partCount, partData}: Pick<News, keyof ChangesPart>): ChangesPart | undefined {
	if (isRelayed === undefined || partIndex === undefined || partCount === undefined || partData === undefined) {
		return undefined;
	}

	return {
		isRelayed, partIndex, partCount, partData,
	};
}

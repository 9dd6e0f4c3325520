import {type StoreVersion} from '../src/contracts/store-version.js';
import {RevisionTracker} from '../src/decisions/revision-tracker.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {SimulatedNetwork} from '../stand-ins/simulated-network.js';

type Effect = ReturnType<RevisionTracker['tick']>[number];
type NetworkEffect = Parameters<NonNullable<ConstructorParameters<typeof SimulatedNetwork>[0]['onEffect']>>[1];

type Host = {
	readonly tracker: RevisionTracker;
	isWatching: boolean;
	/** Whether the host's link to the store loses everything in silence. */
	isCut: boolean;
	/** Whether the store rejects the host's watches and reads, but answers its probes. */
	isRejected: boolean;
	/** Whether the host is of the release before, which knows no eras: to it, the revision alone is the version. */
	isLegacy: boolean;
	/** Number of probes of the store that the host made. */
	probes: number;
	/** Revision since which the host's latest spread contained new changes, and the one up to which it did, with their era. */
	spread: {readonly era: number; readonly since: number; readonly upTo: number} | undefined;
	/** Time until which the host is busy with the pulls of others. */
	servingUntilMs: number;
	/** Time at which the host first watched the store without being designated. */
	substituteSinceMs: number | undefined;
};

type Task = {readonly atMs: number; readonly run: () => void};

const stepMs = 50;
/** Time of a call to the store or to a peer. */
const callMs = 40;
const pullDelayMs = 300;
const pullTimeoutMs = 600;
/** Time until the head of the response to a call between hosts after which the call is given up. */
const controlTimeoutMs = 1500;
/** Processor time for which a pull holds up its source, on a host with a fifth of a core of which requests take half. */
const servePullMs = 30;

/** Test model of one region in virtual time: hosts that watch a store, from which links may be cut in silence, or pull from each other. */
export class StoreWatchModel {
	readonly hosts: readonly Host[];
	readonly network: SimulatedNetwork;
	/** Era and revision of the store. */
	era = 0;
	revision = 1;
	#tasks: Task[] = [];

	readonly #turnMs: number | undefined;

	/** `turnMs`: length of a turn of each host's event loop; without it, calls between hosts take a short time. */
	constructor({
		hosts, seed, loss = 0, turnMs,
	}: {
		readonly hosts: number; readonly seed: number; readonly loss?: number; readonly turnMs?: number;
	}) {
		this.#turnMs = turnMs;
		this.network = new SimulatedNetwork({
			regions: {dsm: hosts}, seed, loss, ...(turnMs !== undefined && {turnMs}), onEffect: (index, effect) => {
				this.#runMembershipEffect(index, effect);
			},
			convey: (message, from, to) => {
				const {era, ...rest} = message;
				const {contactEra, partIndex, partCount, partData, ...legacy} = rest as Extract<typeof rest, {kind: 'news'}>;
				return this.hosts[from]!.isLegacy || this.hosts[to]!.isLegacy ? legacy : message;
			},
		});
		this.hosts = this.network.nodes.map((_, index) => ({
			tracker: new RevisionTracker(new SeededRandom(seed + index), 0, {pullDelayMs}),
			isWatching: false, isCut: false, isRejected: false, isLegacy: false, probes: 0, spread: undefined, servingUntilMs: 0, substituteSinceMs: undefined,
		}));
	}

	get version(): StoreVersion {
		return {era: this.era, revision: this.revision};
	}

	/** Indexes of the hosts that watch the store. */
	get watchers(): number[] {
		return [...this.hosts.keys()].filter(index => this.hosts[index]!.isWatching);
	}

	/** Advances virtual time. */
	run(durationMs: number): void {
		const endMs = this.network.nowMs + durationMs;
		while (this.network.nowMs < endMs) {
			this.network.run(stepMs);
			const {nowMs} = this.network;
			const due = this.#tasks.filter(task => task.atMs <= nowMs);
			this.#tasks = this.#tasks.filter(task => task.atMs > nowMs);
			for (const task of due) {
				task.run();
			}

			for (const [index, node] of this.network.nodes.entries()) {
				if (!node.isDown && !node.isFrozen && this.network.turnAt(index, nowMs) <= nowMs) {
					this.#runEffects(index, this.hosts[index]!.tracker.tick(nowMs, node.membership.delegateRank()));
					this.#deliver(index);
				}
			}
		}
	}

	/** Restores an earlier copy of the store: a new era begins at a lower revision. */
	restore(revision: number): void {
		this.era++;
		this.revision = revision;
	}

	/** Returns the hosts that are alive and not cut off from the store. */
	connected(): number[] {
		return [...this.hosts.keys()].filter(index => !this.hosts[index]!.isCut && !this.network.nodes[index]!.isDown);
	}

	/** A watch on a link that is not cut delivers every change, unless the store rejects the host. */
	#deliver(index: number): void {
		const host = this.hosts[index]!;
		if (host.isWatching && !host.isCut) {
			host.tracker.recordRead(!host.isRejected);
		}

		if (host.isWatching && !host.isCut && !host.isRejected) {
			this.#spread(index);
			this.#adopt(index, this.version);
		}
	}

	/** Spreads the changes that follow on the host's version, and those of the spread before; the model encodes only the revision on which they follow. */
	#spread(index: number): void {
		const host = this.hosts[index]!;
		const {tracker, isLegacy} = host;
		const {era, revision} = tracker.version;
		const latest = host.spread?.era === this.era ? host.spread : undefined;
		const watchedRevision = latest?.upTo ?? revision;
		if (!isLegacy && revision > 0 && era === this.era && watchedRevision < this.revision) {
			const since = latest?.since ?? revision;
			host.spread = {era, since: watchedRevision, upTo: this.revision};
			this.network.act(index, membership => membership.spreadChanges(this.version, [new Uint8Array(new Float64Array([since]).buffer)]));
			this.#adopt(index, this.version, true);
		}
	}

	#receiveSpread(index: number, {version, data, address}: Extract<NetworkEffect, {kind: 'changes_part'}>): void {
		const {tracker, isLegacy} = this.hosts[index]!;
		const {era, revision} = tracker.version;
		if (isLegacy || revision === 0 || version.era !== era || version.revision <= revision) {
			return;
		}

		if (new Float64Array(new Uint8Array(data).buffer)[0]! <= revision) {
			this.#adopt(index, version, true);
		} else {
			this.#runEffects(index, tracker.recordVersion(version, address, this.network.nowMs));
		}
	}

	#adopt(index: number, {era, revision}: StoreVersion, isSpread = false): void {
		const {tracker, isLegacy} = this.hosts[index]!;
		const version = {era: isLegacy ? 0 : era, revision};
		if (tracker.adopt(version, this.network.nowMs)) {
			this.network.act(index, membership => (isSpread ? membership.setSpreadVersion(version) : membership.setVersion(version, tracker.isWatching)));
		}
	}

	#runEffects(index: number, effects: readonly Effect[]): void {
		for (const effect of effects) {
			this.#runEffect(index, effect);
		}
	}

	#runEffect(index: number, effect: Effect): void {
		const host = this.hosts[index]!;
		const {network} = this;
		switch (effect.kind) {
			case 'watch': {
				host.isWatching = effect.isWatching;
				host.substituteSinceMs ??= host.tracker.isSubstitute ? network.nowMs : undefined;
				break;
			}

			case 'read_store': {
				this.#later(callMs, () => {
					if (!host.isCut && !host.isRejected) {
						this.#adopt(index, this.version);
					}
				});
				break;
			}

			case 'probe_store': {
				host.probes++;
				this.#later(callMs, () => {
					if (!host.isCut && !network.nodes[index]!.isDown) {
						this.#runEffects(index, host.tracker.recordProbeAnswer(host.isLegacy ? 0 : this.era, network.nowMs));
					}
				});
				break;
			}

			case 'report_contact':
			case 'report_answer': {
				network.act(index, membership => membership.reportStoreContact());
				break;
			}

			case 'pull': {
				this.#pull(index, effect.address);
				break;
			}

			case 'pull_unordered': {
				// Only configurations are taken from the response, which the model does not have.
				break;
			}
		}
	}

	#pull(index: number, address: string): void {
		const {nodes} = this.network;
		const source = nodes.findIndex(node => node.address === address);
		if (nodes[source]!.isDown) {
			this.#later(pullTimeoutMs, () => {
				this.#runEffects(index, this.hosts[index]!.tracker.recordPullFailure(address, this.network.nowMs));
			});
			return;
		}

		if (this.#turnMs !== undefined) {
			this.#pullFromBusyHost(index, source, address);
			return;
		}

		this.#later(callMs, () => {
			this.#adopt(index, this.hosts[source]!.tracker.version);
		});
	}

	/** The source reads the call in one of its turns, serves the calls one after the other, and the response is read in one of the caller's turns. */
	#pullFromBusyHost(index: number, source: number, address: string): void {
		const {network, hosts} = this;
		const {nowMs} = network;
		const sourceHost = hosts[source]!;
		sourceHost.servingUntilMs = Math.max(sourceHost.servingUntilMs, network.turnAt(source, nowMs + 1)) + servePullMs;
		const respondedMs = sourceHost.servingUntilMs;
		const receivedMs = network.turnAt(index, respondedMs + 1);
		if (receivedMs - nowMs > controlTimeoutMs) {
			this.#later(network.turnAt(index, nowMs + controlTimeoutMs) - nowMs, () => {
				this.#runEffects(index, hosts[index]!.tracker.recordPullFailure(address, network.nowMs));
			});
			return;
		}

		let version: StoreVersion | undefined;
		this.#later(respondedMs - nowMs, () => {
			version = sourceHost.tracker.version;
		});
		this.#later(receivedMs - nowMs, () => {
			this.#adopt(index, version ?? sourceHost.tracker.version);
		});
	}

	#runMembershipEffect(index: number, effect: NetworkEffect): void {
		const {tracker} = this.hosts[index]!;
		const {nowMs} = this.network;
		switch (effect.kind) {
			case 'revision': {
				this.#runEffects(index, tracker.recordVersion(effect.version, effect.address, nowMs));
				break;
			}

			case 'changes_part': {
				this.#receiveSpread(index, effect);
				break;
			}

			case 'store_contact': {
				this.#runEffects(index, tracker.recordReportedContact(effect.version, effect.rank, nowMs));
				break;
			}

			case 'send':
			case 'sync':
			case 'changed': {
				break;
			}
		}
	}

	#later(delayMs: number, run: () => void): void {
		this.#tasks.push({atMs: this.network.nowMs + delayMs, run});
	}
}

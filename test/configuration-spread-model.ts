import {RevisionTracker} from '../src/decisions/revision-tracker.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {TransferAdmission} from '../src/decisions/transfer-admission.js';
import {SimulatedNetwork} from '../stand-ins/simulated-network.js';
import {LinkModel} from './link-model.js';

type Effect = ReturnType<RevisionTracker['tick']>[number];
type Sizes = {
	/** Size of the store's response to a watcher, in bytes. */
	readonly storeBytes: number;
	/** Size of a response to a pull, and what counts of it against the limit of transfers, in bytes. */
	readonly pullBytes: number;
	readonly countedBytes: number;
};

const hosts = 48;
/** Number of hosts with a wide link, none of which watches the store. */
const wideHosts = 4;
const wideLinkMbps = 700;
const narrowLinkMbps = 10;
const stepMs = 50;
/** Time of a call to a peer without the transfer of its response. */
const callMs = 40;
const pullDelayMs = 300;
const settleMs = 5000;

/** Test model of one region in virtual time: a change too large to be spread in datagrams, which watchers with narrow links read from the store. */
export class ConfigurationSpreadModel {
	readonly #sizes: Sizes;
	readonly #network: SimulatedNetwork;
	readonly #trackers: readonly RevisionTracker[];
	readonly #admissions: readonly TransferAdmission[];
	readonly #links: LinkModel;
	readonly #watchers = new Set<number>();
	#tasks: Array<{readonly atMs: number; readonly run: () => void}> = [];

	constructor(seed: number, sizes: Sizes) {
		this.#sizes = sizes;
		this.#network = new SimulatedNetwork({
			regions: {dsm: hosts}, seed, onEffect: (index, effect) => {
				if (effect.kind === 'revision') {
					this.#runEffects(index, this.#trackers[index]!.recordVersion(effect.version, effect.address, this.#network.nowMs));
				} else if (effect.kind === 'store_contact') {
					this.#runEffects(index, this.#trackers[index]!.recordReportedContact(effect.version, effect.rank, this.#network.nowMs));
				}
			},
		});
		this.#trackers = Array.from({length: hosts}, (_, index) => new RevisionTracker(new SeededRandom(seed + index), 0, {pullDelayMs}));
		for (const index of this.#trackers.keys()) {
			this.#adopt(index, 1);
		}

		this.#run(settleMs);
		const others = [...this.#trackers.keys()].filter(index => !this.#watchers.has(index));
		const wide = new Set(new SeededRandom(seed).sample(others, wideHosts));
		const linkMbps = Array.from({length: hosts}, (_, index) => wide.has(index) ? wideLinkMbps : narrowLinkMbps);
		this.#links = new LinkModel(linkMbps);
		this.#admissions = linkMbps.map(mbps => new TransferAdmission({linkMbps: mbps}));
	}

	/** Writes a change to the store; returns the time until the last host has it, in milliseconds. */
	timeToLastHost(): number {
		const startMs = this.#network.nowMs;
		for (const index of this.#watchers) {
			this.#links.start(this.#sizes.storeBytes, {
				from: undefined, to: index, onEnd: () => {
					this.#adopt(index, 2);
				},
			});
		}

		while (this.#trackers.some(({revision}) => revision < 2)) {
			this.#run(stepMs);
			this.#links.run(stepMs);
		}

		return this.#network.nowMs - startMs;
	}

	#run(durationMs: number): void {
		const endMs = this.#network.nowMs + durationMs;
		while (this.#network.nowMs < endMs) {
			this.#network.run(stepMs);
			const {nowMs} = this.#network;
			const due = this.#tasks.filter(task => task.atMs <= nowMs);
			this.#tasks = this.#tasks.filter(task => task.atMs > nowMs);
			for (const task of due) {
				task.run();
			}

			for (const [index, tracker] of this.#trackers.entries()) {
				this.#runEffects(index, tracker.tick(nowMs, this.#network.nodes[index]!.membership.delegateRank()));
			}
		}
	}

	#runEffects(index: number, effects: readonly Effect[]): void {
		const tracker = this.#trackers[index]!;
		for (const effect of effects) {
			switch (effect.kind) {
				case 'watch': {
					this.#watchers[effect.isWatching ? 'add' : 'delete'](index);
					break;
				}

				case 'probe_store': {
					this.#later(() => {
						this.#runEffects(index, tracker.recordProbeAnswer(0, this.#network.nowMs));
					});
					break;
				}

				case 'report_contact': {
					this.#network.act(index, membership => membership.reportStoreContact());
					break;
				}

				case 'pull': {
					this.#later(() => {
						this.#pull(index, effect.address);
					});
					break;
				}

				case 'pull_unordered':
				case 'read_store': {
					// Neither happens to hosts that have a revision of the store's only era.
					break;
				}
			}
		}
	}

	#pull(index: number, address: string): void {
		const source = this.#network.nodes.findIndex(node => node.address === address);
		const {nowMs} = this.#network;
		const end = this.#admissions[source]!.admit(this.#sizes.countedBytes, nowMs);
		if (end === undefined) {
			this.#runEffects(index, this.#trackers[index]!.recordPullFailure(address, nowMs));
			return;
		}

		this.#links.start(this.#sizes.pullBytes, {
			from: source,
			to: index,
			onProgress: () => {
				this.#trackers[index]!.recordPullProgress(address, this.#network.nowMs);
			},
			onEnd: () => {
				end();
				this.#adopt(index, this.#trackers[source]!.revision);
			},
		});
	}

	#adopt(index: number, revision: number): void {
		const tracker = this.#trackers[index]!;
		const version = {era: 0, revision};
		if (tracker.adopt(version, this.#network.nowMs)) {
			this.#network.act(index, membership => membership.setVersion(version, tracker.isWatching));
		}
	}

	#later(run: () => void): void {
		this.#tasks.push({atMs: this.#network.nowMs + callMs, run});
	}
}

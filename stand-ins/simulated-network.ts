import {type GossipMessage} from '../src/contracts/gossip-message.js';
import {type Member} from '../src/contracts/member.js';
import {Membership} from '../src/decisions/membership.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';

type Node = {
	membership: Membership;
	readonly address: string;
	/** A frozen node neither ticks nor receives messages. */
	isFrozen: boolean;
	isDown: boolean;
	readonly region: string;
};

type ScheduledEvent = {readonly atMs: number; readonly order: number; readonly run: () => void};

type NetworkOptions = {
	/** Number of nodes in each region. */
	readonly regions: Readonly<Record<string, number>>;
	readonly seed: number;
	/** Share of datagrams that are lost, from 0 to 1. */
	readonly loss?: number;
	/** Length of a turn of each node's event loop, in milliseconds: what arrives, and what is due, waits for the next one. At least 50, which is the default. */
	readonly turnMs?: number;
	/** Settings of the failure detector. */
	readonly timing?: ConstructorParameters<typeof Membership>[0];
	/** Called with the effects of a node's membership that are neither messages nor exchanges of views. */
	readonly onEffect?: (index: number, effect: MembershipEffect) => void;
	/** Returns a datagram as it is after the wire between two nodes; unchanged by default. */
	readonly convey?: (message: GossipMessage, from: number, to: number) => GossipMessage;
};

type MembershipEffect = ReturnType<Membership['tick']>[number];

const defaultTiming = {
	periodMs: 1000, probeTimeoutMs: 300, suspicionPeriods: 3, pauseLimitMs: 2000,
};
const tickMs = 50;

/** Simulates the members of several regions on a network in virtual time, with loss, delay, cut links, frozen and killed nodes. */
export class SimulatedNetwork {
	readonly nodes: Node[] = [];
	nowMs = 0;
	datagrams = 0;
	readonly #random: SeededRandom;
	readonly #events: ScheduledEvent[] = [];
	readonly #cutLinks = new Set<string>();
	#lastOrder = 0;
	#startedProcesses = 0;
	#loss: number;
	readonly #turnMs: number;
	readonly #timing: NonNullable<NetworkOptions['timing']>;
	readonly #onEffect: NetworkOptions['onEffect'];
	readonly #convey: NonNullable<NetworkOptions['convey']>;

	constructor({
		regions, seed, loss = 0, turnMs = tickMs, timing = defaultTiming, onEffect, convey = message => message,
	}: NetworkOptions) {
		this.#onEffect = onEffect;
		this.#convey = convey;
		this.#random = new SeededRandom(seed);
		this.#loss = loss;
		this.#turnMs = turnMs;
		this.#timing = timing;
		for (const [region, count] of Object.entries(regions)) {
			for (let index = 0; index < count; index++) {
				this.nodes.push({
					membership: this.#startProcess(region, index), address: `${region}:${index}`, isFrozen: false, isDown: false, region,
				});
			}
		}

		this.#setListedAddresses();
	}

	/** Advances virtual time. */
	run(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		while (this.nowMs < endMs) {
			this.nowMs += tickMs;
			for (const event of this.#takeDue()) {
				event.run();
			}

			for (const [index, node] of this.nodes.entries()) {
				if (!node.isFrozen && !node.isDown && this.turnAt(index, this.nowMs) <= this.nowMs) {
					this.#applyEffects(node, node.membership.tick(this.nowMs));
				}
			}
		}
	}

	kill(index: number): void {
		this.nodes[index]!.isDown = true;
	}

	restart(index: number): void {
		const node = this.nodes[index]!;
		node.membership = this.#startProcess(node.region, index);
		node.isDown = false;
		node.isFrozen = false;
		this.#setListedAddresses();
	}

	freeze(index: number): void {
		this.nodes[index]!.isFrozen = true;
	}

	unfreeze(index: number): void {
		this.nodes[index]!.isFrozen = false;
	}

	setLoss(loss: number): void {
		this.#loss = loss;
	}

	/** Cuts or restores the link between two nodes, in both directions. */
	setLinkCut(a: number, b: number, isCut: boolean): void {
		const [from, to] = [this.nodes[a]!.address, this.nodes[b]!.address];
		for (const link of [`${from}>${to}`, `${to}>${from}`]) {
			if (isCut) {
				this.#cutLinks.add(link);
			} else {
				this.#cutLinks.delete(link);
			}
		}
	}

	leave(index: number): void {
		const node = this.nodes[index]!;
		this.#applyEffects(node, node.membership.setLeaving(true));
	}

	/** Runs an action on a node's membership, and sends what results from it. */
	act(index: number, action: (membership: Membership) => readonly MembershipEffect[]): void {
		const node = this.nodes[index]!;
		this.#applyEffects(node, action(node.membership));
	}

	/** Returns the time of a node's first turn at `atMs` or later. The nodes' turns begin at different times. */
	turnAt(index: number, atMs: number): number {
		const offsetMs = (index * tickMs) % this.#turnMs;
		return offsetMs + (Math.ceil((atMs - offsetMs) / this.#turnMs) * this.#turnMs);
	}

	/** Returns the ids of the members that a node considers alive, itself included. */
	aliveAt(index: number): string[] {
		return this.nodes[index]!.membership.alive().map(member => member.id);
	}

	/** Returns the nodes that are neither down nor frozen. */
	running(): Node[] {
		return this.nodes.filter(node => !node.isDown && !node.isFrozen);
	}

	#startProcess(region: string, index: number): Membership {
		this.#startedProcesses++;
		const address = `${region}:${index}`;
		const self: Member = {
			id: `${region}-${index}`, boot: String(this.#startedProcesses), region, zone: `${region}-${index % 2}`, callers: address, peers: address,
		};
		return new Membership(this.#timing, self, new SeededRandom(this.#random.below(1_000_000)));
	}

	#setListedAddresses(): void {
		for (const node of this.nodes) {
			const local = this.nodes.filter(other => other.region === node.region).map(other => other.address);
			const remote = new Map<string, string[]>();
			for (const other of this.nodes) {
				if (other.region !== node.region) {
					remote.set(other.region, [...(remote.get(other.region) ?? []), other.address]);
				}
			}

			node.membership.setListedAddresses(local, remote);
		}
	}

	#applyEffects(node: Node, effects: readonly MembershipEffect[]): void {
		for (const effect of effects) {
			if (effect.kind === 'send') {
				this.#send(node, effect.address, effect.message);
			} else if (effect.kind === 'sync') {
				this.#sync(node, effect.address);
			} else {
				this.#onEffect?.(this.nodes.indexOf(node), effect);
			}
		}
	}

	#send(from: Node, address: string, message: GossipMessage): void {
		this.datagrams++;
		if (this.#random.next() < this.#loss || this.#cutLinks.has(`${from.address}>${address}`)) {
			return;
		}

		const atMs = this.nowMs + 1 + this.#random.below(5);
		const toIndex = this.nodes.findIndex(node => node.address === address);
		this.#schedule(this.#turnMs > tickMs && toIndex !== -1 ? this.turnAt(toIndex, atMs) : atMs, () => {
			const to = this.nodes[toIndex];
			if (to !== undefined && !to.isDown && !to.isFrozen) {
				const conveyed = this.#convey(message, this.nodes.indexOf(from), this.nodes.indexOf(to));
				this.#applyEffects(to, to.membership.receive(conveyed, this.nowMs));
			}
		});
	}

	#sync(from: Node, address: string): void {
		const to = this.nodes.find(node => node.address === address);
		if (to === undefined || to.isDown || to.isFrozen || this.#cutLinks.has(`${from.address}>${address}`)) {
			return;
		}

		const updates = from.membership.updates();
		this.#applyEffects(to, to.membership.merge(updates, this.nowMs));
		this.#applyEffects(from, from.membership.merge(to.membership.updates(), this.nowMs));
	}

	#schedule(atMs: number, run: () => void): void {
		this.#lastOrder++;
		this.#events.push({atMs, order: this.#lastOrder, run});
	}

	/** Removes the events that are due and returns them in order of time. */
	#takeDue(): ScheduledEvent[] {
		const due: ScheduledEvent[] = [];
		for (const event of this.#events.splice(0)) {
			(event.atMs <= this.nowMs ? due : this.#events).push(event);
		}

		return due.toSorted((a, b) => a.atMs - b.atMs || a.order - b.order);
	}
}

import {type GossipMessage} from '../src/contracts/gossip-message.js';
import {type Member} from '../src/contracts/member.js';
import {Membership} from '../src/decisions/membership.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';

type Node = {
	membership: Membership;
	readonly address: string;
	/** Frozen nodes neither tick nor hear. */
	isFrozen: boolean;
	isDown: boolean;
	readonly region: string;
};

type Event = {readonly atMs: number; readonly order: number; readonly run: () => void};

type FakeOptions = {
	/** Hosts of each region. */
	readonly regions: Readonly<Record<string, number>>;
	readonly seed: number;
	/** Share of datagrams lost. */
	readonly loss?: number;
};

const options = {
	periodMs: 1000, probeTimeoutMs: 300, suspicionPeriods: 3, pauseLimitMs: 2000,
};
const tickMs = 50;

/** Memberships joined by a fake network in virtual time: loss, delay, cuts, freezes and kills. */
export class FakeRegion {
	readonly nodes: Node[] = [];
	nowMs = 0;
	datagrams = 0;
	readonly #random: SeededRandom;
	readonly #events: Event[] = [];
	readonly #cuts = new Set<string>();
	#order = 0;
	#boots = 0;
	#loss: number;

	constructor({regions, seed, loss = 0}: FakeOptions) {
		this.#random = new SeededRandom(seed);
		this.#loss = loss;
		for (const [region, count] of Object.entries(regions)) {
			for (let index = 0; index < count; index++) {
				this.nodes.push({
					membership: this.#boot(region, index), address: `${region}:${index}`, isFrozen: false, isDown: false, region,
				});
			}
		}

		this.#hintAll();
	}

	/** Advances virtual time. */
	run(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		while (this.nowMs < endMs) {
			this.nowMs += tickMs;
			for (const event of this.#takeDue()) {
				event.run();
			}

			for (const node of this.nodes) {
				if (!node.isFrozen && !node.isDown) {
					this.#carry(node, node.membership.tick(this.nowMs));
				}
			}
		}
	}

	kill(index: number): void {
		this.nodes[index]!.isDown = true;
	}

	restart(index: number): void {
		const node = this.nodes[index]!;
		node.membership = this.#boot(node.region, index);
		node.isDown = false;
		node.isFrozen = false;
		this.#hintAll();
	}

	freeze(index: number): void {
		this.nodes[index]!.isFrozen = true;
	}

	wake(index: number): void {
		this.nodes[index]!.isFrozen = false;
	}

	setLoss(loss: number): void {
		this.#loss = loss;
	}

	/** Cuts or joins the way between two nodes, both ways. */
	setCut(a: number, b: number, isCut: boolean): void {
		const [from, to] = [this.nodes[a]!.address, this.nodes[b]!.address];
		for (const way of [`${from}>${to}`, `${to}>${from}`]) {
			if (isCut) {
				this.#cuts.add(way);
			} else {
				this.#cuts.delete(way);
			}
		}
	}

	leave(index: number): void {
		const node = this.nodes[index]!;
		this.#carry(node, node.membership.setLeaving(true));
	}

	/** Names of the members that a node thinks alive, itself included. */
	aliveAt(index: number): string[] {
		return this.nodes[index]!.membership.alive().map(member => member.id);
	}

	/** Nodes that run now. */
	running(): Node[] {
		return this.nodes.filter(node => !node.isDown && !node.isFrozen);
	}

	#boot(region: string, index: number): Membership {
		this.#boots++;
		const address = `${region}:${index}`;
		const self: Member = {
			id: `${region}-${index}`, boot: String(this.#boots), region, zone: `${region}-${index % 2}`, callers: address, peers: address,
		};
		return new Membership(options, self, new SeededRandom(this.#random.below(1_000_000)));
	}

	#hintAll(): void {
		for (const node of this.nodes) {
			const own = this.nodes.filter(other => other.region === node.region).map(other => other.address);
			const foreign = new Map<string, string[]>();
			for (const other of this.nodes) {
				if (other.region !== node.region) {
					foreign.set(other.region, [...(foreign.get(other.region) ?? []), other.address]);
				}
			}

			node.membership.setHints(own, foreign);
		}
	}

	#carry(node: Node, effects: ReturnType<Membership['tick']>): void {
		for (const effect of effects) {
			if (effect.kind === 'send') {
				this.#send(node, effect.address, effect.message);
			} else if (effect.kind === 'sync') {
				this.#sync(node, effect.address);
			}
		}
	}

	#send(from: Node, address: string, message: GossipMessage): void {
		this.datagrams++;
		if (this.#random.next() < this.#loss || this.#cuts.has(`${from.address}>${address}`)) {
			return;
		}

		this.#after(1 + this.#random.below(5), () => {
			const to = this.nodes.find(node => node.address === address);
			if (to !== undefined && !to.isDown && !to.isFrozen) {
				this.#carry(to, to.membership.receive(message, this.nowMs));
			}
		});
	}

	#sync(from: Node, address: string): void {
		const to = this.nodes.find(node => node.address === address);
		if (to === undefined || to.isDown || to.isFrozen || this.#cuts.has(`${from.address}>${address}`)) {
			return;
		}

		const updates = from.membership.updates();
		this.#carry(to, to.membership.merge(updates, this.nowMs));
		this.#carry(from, from.membership.merge(to.membership.updates(), this.nowMs));
	}

	#after(delayMs: number, run: () => void): void {
		this.#order++;
		this.#events.push({atMs: this.nowMs + delayMs, order: this.#order, run});
	}

	/** Removes and orders the events that are due. */
	#takeDue(): Event[] {
		const due: Event[] = [];
		for (const event of this.#events.splice(0)) {
			(event.atMs <= this.nowMs ? due : this.#events).push(event);
		}

		return due.toSorted((a, b) => a.atMs - b.atMs || a.order - b.order);
	}
}

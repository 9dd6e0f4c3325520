import {type Account} from '../../src/contracts/account.js';
import {QuotaShare} from '../../src/decisions/quota-share.js';
import {QuotaWaiters} from '../../src/decisions/quota-waiters.js';
import {SeededRandom} from '../../src/decisions/seeded-random.js';

type QuotaPlay = {
	readonly hosts: number;
	readonly ratePerSecond: number;
	readonly burst: number;
	/** Where the requests arrive: evenly at all hosts, at one, or at one that is another one each second. */
	readonly pattern: 'even' | 'one' | 'moving';
	/** Demand as a multiple of the limit. */
	readonly demand: number;
	readonly seconds: number;
	readonly seed: number;
};

type QuotaPlayResult = {
	/** Requests that got a token, as a share of the limit. */
	readonly share: number;
	/** Bytes that a host sends in a second, on average over the hosts. */
	readonly bytesPerSecond: number;
	/** Calls that a host sends in a second, on average and at the busiest. */
	readonly callsPerSecond: number;
	readonly busiestCallsPerSecond: number;
	/** Largest count of one window, as a share of the bound. */
	readonly peak: number;
};

type ModelHost = {
	readonly index: number;
	readonly region: number;
	readonly share: QuotaShare;
	readonly waiters: QuotaWaiters<undefined>;
	readonly busyPeers: Set<string>;
	slots: number;
	calls: number;
	nextPlanMs: number;
};

const slots = 16;
const regions = 3;
const bounds = {quotaWindowMs: 5000, quotaOverage: 0.1, quotaTolerance: 20};
const waitMs = 150;
const callTimeoutMs = 300;
const tickMs = 25;
const lossShare = 0.02;
const oneWayMs = {near: 1, far: 55};
/** HTTP heads and envelopes of a call and its response, 340 bytes as read from a connection, and the TCP and IP headers of four segments. */
const callOverheadBytes = 548;
/** The first seconds are left out, in which the buckets fill and the burst is used. */
const warmUpMs = 5000;

/** Plays the decisions of all hosts on one account in virtual time, with lost messages and the delays between regions. */
export class QuotaModel {
	readonly #play: QuotaPlay;
	readonly #random: SeededRandom;
	readonly #hosts: ModelHost[];
	readonly #events = new Map<number, Array<() => void>>();
	readonly #served: number[] = [];
	#bytes = 0;
	#nowMs = 0;

	constructor(play: QuotaPlay) {
		this.#play = play;
		this.#random = new SeededRandom(play.seed);
		this.#hosts = Array.from({length: play.hosts}, (_, index) => ({
			index, region: index % regions, share: new QuotaShare({bounds, slots}), waiters: new QuotaWaiters(), busyPeers: new Set(), slots: 0, calls: 0, nextPlanMs: 0,
		}));
		for (let slot = 0; slot < slots; slot++) {
			this.#hosts[slot % play.hosts]!.slots++;
		}

		const account: Account = {
			name: 'a', priority: undefined, allowedRegions: [], quota: {ratePerSecond: play.ratePerSecond, burst: play.burst},
		};
		for (const host of this.#hosts) {
			host.share.setAccounts([account], 0);
			host.share.setSlots(host.slots, Number.POSITIVE_INFINITY, 0);
		}
	}

	run(): QuotaPlayResult {
		const {seconds, hosts} = this.#play;
		const endMs = seconds * 1000;
		for (const host of this.#hosts) {
			this.#at(this.#random.below(tickMs), () => {
				this.#tick(host);
			});
		}

		this.#at(0, () => {
			this.#arrive();
		});
		for (; this.#nowMs < endMs; this.#nowMs++) {
			if (this.#nowMs === warmUpMs) {
				this.#bytes = 0;
				for (const host of this.#hosts) {
					host.calls = 0;
				}
			}

			const events = this.#events.get(this.#nowMs) ?? [];
			for (const event of events) {
				event();
			}

			this.#events.delete(this.#nowMs);
		}

		const measuredSeconds = seconds - (warmUpMs / 1000);
		const calls = this.#hosts.map(host => host.calls / measuredSeconds);
		return {
			share: this.#served.filter(timeMs => timeMs >= warmUpMs).length / (measuredSeconds * this.#play.ratePerSecond),
			bytesPerSecond: this.#bytes / measuredSeconds / hosts,
			callsPerSecond: calls.reduce((sum, count) => sum + count, 0) / hosts,
			busiestCallsPerSecond: Math.max(...calls),
			peak: this.#peak(),
		};
	}

	#at(timeMs: number, event: () => void): void {
		const key = Math.max(this.#nowMs, Math.ceil(timeMs));
		const events = this.#events.get(key);
		if (events === undefined) {
			this.#events.set(key, [event]);
		} else {
			events.push(event);
		}
	}

	#arrive(): void {
		const perMs = this.#play.ratePerSecond * this.#play.demand / 1000;
		// Arrivals of one millisecond: a Poisson process by exponential gaps.
		for (let sum = -Math.log(1 - this.#random.next()); sum < perMs; sum -= Math.log(1 - this.#random.next())) {
			this.#request(this.#hosts[this.#hostOfNext()]!);
		}

		this.#at(this.#nowMs + 1, () => {
			this.#arrive();
		});
	}

	#hostOfNext(): number {
		const {hosts, pattern} = this.#play;
		switch (pattern) {
			case 'even': {
				return this.#random.below(hosts);
			}

			case 'one': {
				return hosts - 1;
			}

			case 'moving': {
				return (hosts - 1 + (7 * Math.floor(this.#nowMs / 1000))) % hosts;
			}
		}
	}

	#request(host: ModelHost): void {
		host.share.recordRequest('a', this.#nowMs);
		if (host.waiters.countOf('a') === 0 && host.share.take('a', this.#nowMs) !== undefined) {
			this.#served.push(this.#nowMs);
			return;
		}

		if (host.share.mayWait('a', host.waiters.countOf('a'), waitMs, this.#nowMs)) {
			host.waiters.add('a', undefined, this.#nowMs + waitMs);
		}

		this.#update(host);
	}

	#tick(host: ModelHost): void {
		this.#update(host);
		this.#at(this.#nowMs + tickMs, () => {
			this.#tick(host);
		});
	}

	#update(host: ModelHost): void {
		for (const {token} of host.waiters.end(host.share, this.#nowMs)) {
			if (token !== undefined) {
				this.#served.push(this.#nowMs);
			}
		}

		if (this.#nowMs < host.nextPlanMs) {
			return;
		}

		host.nextPlanMs = this.#nowMs + tickMs;
		const peers = this.#hosts
			.filter(peer => peer !== host && peer.slots > 0 && !host.busyPeers.has(String(peer.index)));
		const calls = host.share.plan(peers.map(peer => ({id: String(peer.index), slots: peer.slots, isNear: peer.region === host.region})), host.waiters.counts, this.#nowMs);
		for (const [peer, asks] of calls) {
			this.#call(host, this.#hosts[Number(peer)]!, asks);
		}
	}

	#call(host: ModelHost, peer: ModelHost, asks: Parameters<QuotaShare['lend']>[0]): void {
		const askedMs = this.#nowMs;
		const id = String(peer.index);
		const delayMs = host.region === peer.region ? oneWayMs.near : oneWayMs.far;
		const call = {peer: id, asks, askedMs};
		let isOpen = true;
		host.busyPeers.add(id);
		host.calls++;
		this.#bytes += callOverheadBytes + JSON.stringify(asks).length;
		this.#at(askedMs + callTimeoutMs, () => {
			if (isOpen) {
				isOpen = false;
				host.busyPeers.delete(id);
				host.share.recordFailure(call, this.#nowMs);
			}
		});
		if (this.#random.next() < lossShare) {
			return;
		}

		this.#at(askedMs + delayMs, () => {
			const offers = peer.share.lend(asks, this.#nowMs);
			this.#bytes += JSON.stringify(offers).length;
			if (this.#random.next() < lossShare) {
				return;
			}

			this.#at(this.#nowMs + delayMs, () => {
				if (isOpen) {
					isOpen = false;
					host.busyPeers.delete(id);
					host.share.receive(call, offers, this.#nowMs);
					this.#update(host);
				}
			});
		});
	}

	/** Returns the largest count of one window as a share of the bound. */
	#peak(): number {
		const {quotaWindowMs, quotaOverage, quotaTolerance} = bounds;
		const {ratePerSecond, burst} = this.#play;
		const bound = (((ratePerSecond * quotaWindowMs / 1000) + burst) * (1 + quotaOverage)) + quotaTolerance;
		let first = 0;
		let peak = 0;
		for (const [index, timeMs] of this.#served.entries()) {
			while (timeMs - this.#served[first]! > quotaWindowMs) {
				first++;
			}

			peak = Math.max(peak, index - first + 1);
		}

		return peak / bound;
	}
}

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SimulatedNetwork} from '../../stand-ins/simulated-network.js';
import {Membership} from './membership.js';
import {ProbeBreadth} from './probe-breadth.js';
import {SeededRandom} from './seeded-random.js';

/** Settings of the steering daemon. */
const timing = {
	periodMs: 500, probeTimeoutMs: 250, suspicionPeriods: 3, pauseLimitMs: 2000,
};
/** Time after which the directory must not name a host that is gone. */
const namedMs = 7000;
const stepMs = 100;

/** Kills or cuts off all but the first hosts at the same moment; returns the time until the survivors know only each other, up to 30 s. */
function detectionMs({hosts, survivors, seed, loss = 0, isCut = false}: {
	readonly hosts: number; readonly survivors: number; readonly seed: number; readonly loss?: number; readonly isCut?: boolean;
}): number {
	const network = new SimulatedNetwork({
		regions: {dsm: hosts}, seed, timing,
	});
	network.run(15_000);
	expect(network.aliveAt(0)).toHaveLength(hosts);
	network.setLoss(loss);
	for (let lost = survivors; lost < hosts; lost++) {
		if (isCut) {
			for (let other = 0; other < survivors; other++) {
				network.setLinkCut(lost, other, true);
			}
		} else {
			network.kill(lost);
		}
	}

	const survivorIds = new Set(network.nodes.slice(0, survivors).map(node => node.membership.self.id));
	const namesLost = () => [...survivorIds.keys()].some((_, index) => network.aliveAt(index).some(id => !survivorIds.has(id)));
	let tookMs = 0;
	while (namesLost() && tookMs < 30_000) {
		network.run(stepMs);
		tookMs += stepMs;
	}

	return tookMs;
}

// Guards against a directory that names lost hosts for the longer the more of them are lost (DRAIN).
describe('loss of many hosts at once', () => {
	it.each([{hosts: 2}, {hosts: 8}, {hosts: 12}, {hosts: 44}, {hosts: 100}])('is known to the only survivor of $hosts hosts in time', ({hosts}) => {
		const times = [1, 2, 3].map(seed => detectionMs({hosts, survivors: 1, seed}));
		expect(Math.max(...times)).toBeLessThan(namedMs);
	});

	it('is known in time whatever part of a region is lost or cut off, with a tenth of the datagrams lost', () => {
		fc.assert(fc.property(fc.record({
			hosts: fc.integer({min: 2, max: 30}), part: fc.double({min: 0, max: 1, noNaN: true}), seed: fc.nat(10_000), isCut: fc.boolean(),
		}), ({hosts, part, seed, isCut}) => {
			const survivors = 1 + Math.floor(part * (hosts - 1.001));
			expect(detectionMs({
				hosts, survivors, seed, loss: 0.1, isCut,
			})).toBeLessThan(namedMs);
		}), {numRuns: 60, seed: 43});
	});

	it('takes one survivor no longer for ninety-nine hosts than for nine, but for the longer suspicion in a large region', () => {
		const mean = (hosts: number) => [1, 2, 3, 4].reduce((total, seed) => total + detectionMs({hosts, survivors: 1, seed}), 0) / 4;
		const suspicionMs = (hosts: number) => timing.suspicionPeriods * timing.periodMs * Math.max(1, Math.log10(hosts));
		expect(mean(100) - suspicionMs(100)).toBeLessThan(mean(10) - suspicionMs(10) + (2 * timing.periodMs));
	});

	// Guards against hosts that were cut off and tell the region that all others are gone.
	it.each([
		{hosts: 8, cutOff: 1, cutMs: 3000},
		{hosts: 8, cutOff: 1, cutMs: 12_000},
		{hosts: 30, cutOff: 1, cutMs: 4000},
		{hosts: 30, cutOff: 1, cutMs: 20_000},
		{hosts: 8, cutOff: 2, cutMs: 4000},
		{hosts: 30, cutOff: 2, cutMs: 3000},
		{hosts: 30, cutOff: 3, cutMs: 6000},
	])('takes no running host out of the views of the others when $cutOff of $hosts hosts return after $cutMs ms', ({hosts, cutOff, cutMs}) => {
		const network = new SimulatedNetwork({regions: {dsm: hosts}, seed: 7, timing});
		network.run(15_000);
		const ids = network.nodes.map(node => node.membership.self.id);
		const setCut = (isCut: boolean) => {
			for (let index = 0; index < cutOff; index++) {
				for (let other = cutOff; other < hosts; other++) {
					network.setLinkCut(index, other, isCut);
				}
			}
		};

		setCut(true);
		network.run(cutMs);
		setCut(false);
		for (let passedMs = 0; passedMs < 20_000; passedMs += stepMs) {
			network.run(stepMs);
			for (let other = cutOff; other < hosts; other++) {
				expect(ids.slice(cutOff).filter(id => !network.aliveAt(other).includes(id))).toEqual([]);
			}
		}

		expect(ids.map((_, index) => network.aliveAt(index).length)).toEqual(ids.map(() => hosts));
	});

	it('is known to a process that runs only every 300 ms', () => {
		const member = (id: string) => ({
			id, boot: '1', region: 'dsm', zone: 'dsm-a', callers: id, peers: id,
		});
		const membership = new Membership(timing, member('a'), new SeededRandom(1));
		membership.merge(['b', 'c', 'd'].map(id => ({
			member: member(id), incarnation: 0, status: 'alive' as const, isLeaving: false,
		})), 0);
		for (let nowMs = 0; nowMs < namedMs; nowMs += 300) {
			membership.tick(nowMs);
		}

		expect(membership.alive().map(({id}) => id)).toEqual(['a']);
	});
});

// Guards against a burst of probes in a large region for each host that is lost.
describe('ProbeBreadth', () => {
	const resultsOf = (breadth: ProbeBreadth, succeeded: number, failed: number) => {
		for (let index = 0; index < succeeded; index++) {
			breadth.recordSuccess();
		}

		for (let index = 0; index < failed; index++) {
			breadth.recordFailure();
		}

		return breadth.next();
	};

	it('returns to one member after a single failure among many', () => {
		const breadth = new ProbeBreadth();
		expect(resultsOf(breadth, 0, 1)).toBe(16);
		expect(resultsOf(breadth, 15, 1)).toBe(1);
	});

	it('widens to all members if half of the probes fail, and returns to one once none does', () => {
		const breadth = new ProbeBreadth();
		expect([resultsOf(breadth, 0, 1), resultsOf(breadth, 8, 8), resultsOf(breadth, 60, 40), resultsOf(breadth, 100, 0)]).toEqual([16, 256, 256, 1]);
	});
});

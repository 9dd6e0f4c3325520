import {describe, expect, it} from 'vitest';
import {objectId} from './object-id.js';
import {PlacementPlan} from './placement-plan.js';
import {SeededRandom} from './seeded-random.js';

type Instances = Parameters<PlacementPlan['tick']>[0]['instances'];

type SimulationOptions = {readonly instances: Instances; readonly objects: readonly string[]; readonly perSecond: number; readonly fromMs: number; readonly forMs: number};

const tickMs = 500;

/** Simulates a steady load: each object is requested `perSecond` times a second, and a request takes 100 ms. */
function simulate(plan: PlacementPlan, options: SimulationOptions, onTick: (nowMs: number) => void = () => undefined): void {
	const {instances, objects, perSecond, fromMs, forMs} = options;
	for (let nowMs = fromMs; nowMs < fromMs + forMs; nowMs += tickMs) {
		plan.applyReport({
			haveVersion: 0,
			known: [],
			host: 'h1',
			slow: [], runs: [],
			routes: [['s', '/r/', 100]],
			objects: objects.map(object => ['s', '/r/', 0, object, Math.max(1, Math.round(perSecond * tickMs / 1000)), []]),
		}, nowMs);
		plan.tick({instances, priorities: new Map(), hosts: new Map()}, nowMs);
		onTick(nowMs);
	}
}

const instancesOf = (region: string, count: number): Instances => Array.from({length: count}, (_, index) => ({
	id: `${region}${index}`, service: 's', region, slots: 3,
}));
const objects = Array.from({length: 24}, (_, index) => `k${index}`);
const assignedInstances = (plan: PlacementPlan) => objects.map(object => plan.instanceOf(objectId('s', 0, object)));
const loadOf = (region: string, slots: number, busy: number, offered: number) => ({
	region, pools: [['s|rest', slots, busy] as [string, number, number]], reserved: [], offers: [['s|rest', 'a', offered] as [string, string, number]], uses: [], times: [],
});

/** Instances that both hosts report as slow, and the time at which the simulation starts. */
type Slowness = {readonly fromMs: number; readonly slow: Array<[instanceId: string, slowness: number]>};

const noSlowness: Slowness = {fromMs: 0, slow: []};

/** Simulates 20 seconds in which every object is requested twice a second with each priority; times of requests are in milliseconds. */
function simulatePriorities(plan: PlacementPlan, instances: Instances, times: {readonly urgent: number; readonly slow: number}, slowness = noSlowness): void {
	const {fromMs, slow} = slowness;
	for (let nowMs = fromMs; nowMs < fromMs + 20_000; nowMs += tickMs) {
		plan.applyReport({
			haveVersion: 0, known: [], host: 'h2', slow, runs: [], routes: [], objects: [],
		}, nowMs);
		plan.applyReport({
			haveVersion: 0,
			known: [],
			host: 'h1',
			slow, runs: [],
			routes: [['s', '/urgent/', times.urgent], ['s', '/slow/', times.slow]],
			objects: objects.flatMap(object => [['s', '/urgent/', 0, object, 1, []], ['s', '/slow/', 2, object, 1, []]] as Array<[string, string, number, string, number, string[]]>),
		}, nowMs);
		plan.tick({instances, priorities: new Map(), hosts: new Map()}, nowMs);
	}
}

describe('placement plan', () => {
	it('estimates the time of a route by the usual time at a warm instance, not by cold runs or the shortest run', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const random = new SeededRandom(1);
		for (let tick = 0; tick < 400; tick++) {
			const isCold = random.next() < 0.1;
			plan.applyReport({
				haveVersion: 0, known: [], host: 'h1', slow: [], runs: [], routes: [['s', '/r/', (isCold ? 900 : 270) * (0.8 + (0.4 * random.next()))]], objects: [],
			}, tick * tickMs);
		}

		const [[, timeMs]] = plan.regionLoad().times as [[string, number]];
		expect(timeMs).toBeGreaterThan(240);
		expect(timeMs).toBeLessThan(330);
	});

	it('assigns every object to an instance, and keeps it there while the load is steady and light', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const options = {
			instances: instancesOf('a', 4), objects, perSecond: 2, fromMs: 0, forMs: 10_000,
		};
		simulate(plan, options);
		const before = assignedInstances(plan);
		expect(before).not.toContain('');
		simulate(plan, {...options, fromMs: 10_000});
		expect(assignedInstances(plan)).toEqual(before);
	});

	it('balances instances whose utilization differs by more than the margin', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(objects.map(object => [objectId('s', 0, object), 'a0'])), 0);
		simulate(plan, {
			instances: instancesOf('a', 4), objects, perSecond: 4, fromMs: 0, forMs: 60_000,
		});
		const counts = ['a0', 'a1', 'a2', 'a3'].map(id => assignedInstances(plan).filter(other => other === id).length);
		expect(Math.max(...counts)).toBeLessThanOrEqual(9);
	});

	it('moves the excess objects of an overloaded instance within seconds', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(objects.map((object, index) => [objectId('s', 0, object), index < 16 ? 'a0' : `a${1 + (index % 3)}`])), 0);
		simulate(plan, {
			instances: instancesOf('a', 4), objects, perSecond: 4, fromMs: 0, forMs: 6000,
		});
		const counts = ['a0', 'a1', 'a2', 'a3'].map(id => assignedInstances(plan).filter(other => other === id).length);
		expect(Math.max(...counts)).toBeLessThanOrEqual(9);
	});

	it('moves objects to those instances of another region that are not busy with the requests of that region', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = [...instancesOf('a', 2), ...instancesOf('b', 4)];
		for (let fromMs = 0; fromMs < 30_000; fromMs += 1000) {
			plan.applyRegionLoad({...loadOf('b', 12, 4, 4), uses: [['b0', 3], ['b1', 3]]}, fromMs);
			simulate(plan, {
				instances, objects, perSecond: 4, fromMs, forMs: 1000,
			});
		}

		const remoteIds = assignedInstances(plan).filter(id => id.startsWith('b'));
		expect(remoteIds.length).toBeGreaterThan(2);
		expect(remoteIds.filter(id => id === 'b0' || id === 'b1')).toEqual([]);
	});

	describe('with an instance that asked for a pause', () => {
		const shiftCapPerTick = 0.04;

		function simulatePause(plan: PlacementPlan, instances: Instances, pausing: {readonly hosts: readonly string[]; readonly id: string}, fromMs: number): string[][] {
			const placements: string[][] = [];
			simulate(plan, {
				instances, objects, perSecond: 2, fromMs, forMs: 3000,
			}, nowMs => {
				for (const host of pausing.hosts) {
					plan.applyReport({
						haveVersion: 0, known: [], host, slow: [], runs: [], routes: [], objects: [], paused: [[pausing.id, 1000]],
					}, nowMs);
				}

				placements.push(assignedInstances(plan));
			});
			return placements;
		}

		const placed = (instances: Instances) => {
			const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
			simulate(plan, {
				instances, objects, perSecond: 2, fromMs: 0, forMs: 5000,
			});
			return plan;
		};

		it('assigns its objects to other instances of the region if two hosts report it, and assigns objects to it again afterwards', () => {
			const instances = instancesOf('a', 2);
			const plan = placed(instances);
			const during = simulatePause(plan, instances, {hosts: ['h1', 'h2'], id: 'a0'}, 5000);
			expect(during.at(-1)).not.toContain('a0');
			simulate(plan, {
				instances, objects, perSecond: 6, fromMs: 8000, forMs: 20_000,
			});
			expect(assignedInstances(plan)).toContain('a0');
		});

		it('keeps most of its objects if only one of several hosts reports it', () => {
			const instances = instancesOf('a', 4);
			const plan = placed(instances);
			const before = assignedInstances(plan).filter(id => id === 'a0').length;
			for (let nowMs = 5000; nowMs < 8000; nowMs += tickMs) {
				plan.applyReport({
					haveVersion: 0, known: [], host: 'h1', slow: [], runs: [], routes: [], objects: [], paused: [['a0', 1000]],
				}, nowMs);
				plan.tick({instances, priorities: new Map(), hosts: new Map([['a', 4]])}, nowMs);
			}

			expect(assignedInstances(plan).filter(id => id === 'a0').length).toBeGreaterThan(before / 2);
		});

		it('returns its objects from another region only within the cap on shifts', () => {
			const instances = [...instancesOf('a', 4), ...instancesOf('b', 1)];
			const plan = new PlacementPlan({region: 'a'}, 1, new Map(objects.map((object, index) => [objectId('s', 0, object), index < 12 ? 'b0' : `a${index % 4}`])), 0);
			simulate(plan, {
				instances, objects, perSecond: 2, fromMs: 0, forMs: 3000,
			});
			const remoteBefore = assignedInstances(plan).filter(id => id === 'b0').length;
			expect(remoteBefore).toBeGreaterThan(6);
			let remote = remoteBefore;
			for (const placement of simulatePause(plan, instances, {hosts: ['h1', 'h2'], id: 'b0'}, 3000)) {
				const next = placement.filter(id => id === 'b0').length;
				expect(remote - next).toBeLessThanOrEqual(Math.ceil(objects.length * shiftCapPerTick) + 1);
				remote = next;
			}
		});
	});

	describe('with a slow instance', () => {
		const instances = instancesOf('a', 4);

		function simulateSlowInstance(plan: PlacementPlan, hosts: readonly string[], fromMs: number, forMs: number): void {
			simulate(plan, {
				instances, objects, perSecond: 2, fromMs, forMs,
			}, nowMs => {
				for (const host of hosts) {
					plan.applyReport({
						haveVersion: 0, known: [], host, slow: [['a0', 6]], runs: [], routes: [], objects: [],
					}, nowMs);
				}
			});
		}

		const countAt = (plan: PlacementPlan, instanceId: string) => assignedInstances(plan).filter(id => id === instanceId).length;

		it('assigns it only what it can still serve, once two hosts report it as slow', () => {
			const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
			simulateSlowInstance(plan, [], 0, 8000);
			const before = countAt(plan, 'a0');
			simulateSlowInstance(plan, ['h1'], 8000, 3000);
			expect(countAt(plan, 'a0')).toBe(before);
			simulateSlowInstance(plan, ['h1', 'h2'], 11_000, 3000);
			expect(countAt(plan, 'a0')).toBeLessThanOrEqual(2);
		});

		it('assigns objects to it again when no host reports it as slow any longer', () => {
			const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
			simulateSlowInstance(plan, ['h1', 'h2'], 0, 10_000);
			simulate(plan, {
				instances, objects, perSecond: 4, fromMs: 10_000, forMs: 20_000,
			});
			expect(countAt(plan, 'a0')).toBeGreaterThan(2);
		});
	});

	it('moves objects from a busy region slowly, and only within the slots that another region offers', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = [...instancesOf('a', 2), ...instancesOf('b', 4)];
		const remoteCount = () => assignedInstances(plan).filter(id => id.startsWith('b')).length;
		simulate(plan, {
			instances, objects, perSecond: 4, fromMs: 0, forMs: 10_000,
		});
		expect(remoteCount()).toBe(0);
		let before = 0;
		let maxShift = 0;
		for (let fromMs = 10_000; fromMs < 40_000; fromMs += 2000) {
			plan.applyRegionLoad(loadOf('b', 12, 2, 3), fromMs);
			simulate(plan, {
				instances, objects, perSecond: 4, fromMs, forMs: 2000,
			});
			maxShift = Math.max(maxShift, (remoteCount() - before) / objects.length);
			before = remoteCount();
		}

		expect(remoteCount()).toBeGreaterThan(0);
		expect(maxShift).toBeLessThanOrEqual(0.15 + (1 / objects.length));
		expect(remoteCount() * 0.4).toBeLessThanOrEqual(3 + 0.4);
	});

	it('places some objects of a region with many hosts and few slots in another region first, at the instances to which that region assigns them too', () => {
		const instances = [...instancesOf('a', 1), ...instancesOf('b', 3)];
		const hosts = new Map([['a', 4], ['b', 4]]);
		const plans = ['a', 'b'].map(region => new PlacementPlan({region}, 1, new Map(), 0));
		for (const plan of plans) {
			plan.applyReport({
				haveVersion: 0, known: [], host: 'h1', slow: [], runs: [], routes: [], objects: objects.map(object => ['s', '/r/', 0, object, 1, []]),
			}, 0);
			plan.tick({instances, priorities: new Map(), hosts}, 0);
		}

		const [fromA, fromB] = plans.map(plan => assignedInstances(plan));
		const remotePairs = fromA!.map((id, index) => [id, fromB![index]]).filter(([id]) => id!.startsWith('b'));
		expect(remotePairs.length).toBeGreaterThan(objects.length / 6);
		expect(remotePairs.length).toBeLessThan(objects.length / 2);
		expect(remotePairs.filter(([id, other]) => id === other).length).toBeGreaterThan(remotePairs.length * 2 / 3);
	});

	it('moves no objects to a region that no longer reports its load', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		plan.applyRegionLoad(loadOf('b', 12, 0, 6), 0);
		simulate(plan, {
			instances: [...instancesOf('a', 2), ...instancesOf('b', 4)], objects, perSecond: 4, fromMs: 10_000, forMs: 20_000,
		});
		expect(assignedInstances(plan).some(id => id.startsWith('b'))).toBe(false);
	});

	it('assigns objects only to the regions that a route allows', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = [...instancesOf('a', 1), ...instancesOf('b', 4)];
		for (let nowMs = 0; nowMs < 20_000; nowMs += tickMs) {
			plan.applyRegionLoad(loadOf('b', 12, 0, 12), nowMs);
			plan.applyReport({
				haveVersion: 0, known: [], host: 'h1', slow: [], runs: [], routes: [['s', '/r/', 100]], objects: objects.map(object => ['s', '/r/', 0, object, 4, ['a']]),
			}, nowMs);
			plan.tick({instances: nowMs < 10_000 ? instances : instances.slice(1), priorities: new Map(), hosts: new Map()}, nowMs);
			expect(assignedInstances(plan).some(id => id.startsWith('b'))).toBe(false);
		}
	});

	it('returns only the assignments that a host lacks, and all of them to a host with a version of another planner', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		simulate(plan, {
			instances: instancesOf('a', 2), objects, perSecond: 1, fromMs: 0, forMs: 1000,
		});
		const empty = {
			known: [], host: 'h1', slow: [], runs: [], routes: [], objects: [],
		};
		const complete = plan.applyReport({...empty, haveVersion: 0}, 1000);
		expect(complete.entries).toHaveLength(objects.length);
		expect(plan.applyReport({...empty, haveVersion: complete.version}, 1000).entries).toEqual([]);
		expect(plan.applyReport({...empty, haveVersion: complete.version + 1_000_000}, 1000).entries).toHaveLength(objects.length);
	});

	describe('after another planner', () => {
		const instances = instancesOf('a', 4);
		const known = objects.map((object, index): [string, string] => [objectId('s', 0, object), `a${index % 4}`]);
		const report = {
			haveVersion: 5000, known, host: 'h1', slow: [], runs: [], routes: [], objects: objects.map((object): [string, string, number, string, number, string[]] => ['s', '/r/', 0, object, 1, []]),
		};

		it('adopts the latest assignments that a host knows', () => {
			const plan = new PlacementPlan({region: 'a'}, 1000, new Map(), 0);
			plan.applyReport({...report, haveVersion: 4000, known: known.map(([id]) => [id, 'a0'])}, 0);
			plan.tick({instances, priorities: new Map(), hosts: new Map()}, 0);
			plan.applyReport(report, 400);
			plan.applyReport({...report, haveVersion: 4500, known: known.map(([id]) => [id, 'a1'])}, 500);
			plan.tick({instances, priorities: new Map(), hosts: new Map()}, 500);
			expect(assignedInstances(plan)).toEqual(known.map(([, id]) => id));
		});

		it('returns all assignments to a host that reports assignments of another planner', () => {
			const plan = new PlacementPlan({region: 'a'}, 1000, new Map(), 0);
			simulate(plan, {
				instances, objects, perSecond: 1, fromMs: 0, forMs: 1000,
			});
			expect(plan.applyReport({...report, haveVersion: 1010, objects: []}, 1000).entries).toHaveLength(objects.length);
		});

		it('adopts nothing after its learning time', () => {
			const plan = new PlacementPlan({region: 'a'}, 1000, new Map(), 0);
			simulate(plan, {
				instances, objects, perSecond: 1, fromMs: 0, forMs: 5000,
			});
			const before = assignedInstances(plan);
			plan.applyReport(report, 5000);
			expect(assignedInstances(plan)).toEqual(before);
		});
	});

	it('reserves instances for the most urgent requests, and assigns no others to them', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = instancesOf('a', 4);
		simulatePriorities(plan, instances, {urgent: 50, slow: 500});
		const urgent = new Set(objects.map(object => plan.instanceOf(objectId('s', 0, object))));
		const slow = new Set(objects.map(object => plan.instanceOf(objectId('s', 2, object))));
		expect([...urgent].filter(id => slow.has(id))).toEqual([]);
		expect(new Set(plan.regionLoad().reserved)).toEqual(urgent);
	});

	it('replaces a reserved instance that becomes slow', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = instancesOf('a', 4);
		simulatePriorities(plan, instances, {urgent: 50, slow: 100});
		const [first] = plan.regionLoad().reserved;
		simulatePriorities(plan, instances, {urgent: 50, slow: 100}, {fromMs: 20_000, slow: [[first!, 6]]});
		expect(plan.regionLoad().reserved.length).toBeGreaterThan(0);
		expect(plan.regionLoad().reserved).not.toContain(first);
		expect(objects.map(object => plan.instanceOf(objectId('s', 0, object)))).not.toContain(first);
	});

	it('reserves the same share of many idle instances for the most urgent requests as these have of the load', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = instancesOf('a', 40);
		simulatePriorities(plan, instances, {urgent: 50, slow: 150});
		expect(plan.regionLoad().reserved.length).toBeGreaterThanOrEqual(9);
		expect(plan.regionLoad().reserved.length).toBeLessThanOrEqual(11);
	});

	it('reserves enough instances for the most urgent requests to stay warm for all of their objects', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = instancesOf('a', 16);
		const objectCapacity = 5;
		const random = new SeededRandom(3);
		for (let nowMs = 0; nowMs < 40_000; nowMs += tickMs) {
			const counts = new Map<string, number>();
			for (const id of assignedInstances(plan)) {
				counts.set(id, (counts.get(id) ?? 0) + 1);
			}

			plan.applyReport({
				haveVersion: 0,
				known: [],
				host: 'h1',
				slow: [],
				routes: [['s', '/urgent/', 50], ['s', '/slow/', 200]],
				// An instance that evicts the least recently used object is warm for the share of its objects that fit into its cache.
				runs: objects.map((object, index) => ['s', '/urgent/', 0, object, random.next() < objectCapacity / counts.get(assignedInstances(plan)[index]!)! ? 50 : 170]),
				objects: objects.flatMap(object => [['s', '/urgent/', 0, object, 1, []], ['s', '/slow/', 2, object, 1, []]] as Array<[string, string, number, string, number, string[]]>),
			}, nowMs);
			plan.tick({instances, priorities: new Map(), hosts: new Map()}, nowMs);
		}

		const counts = [...new Set(assignedInstances(plan))].map(id => assignedInstances(plan).filter(other => other === id).length);
		expect(Math.max(...counts)).toBeLessThanOrEqual(objectCapacity + 1);
	});

	it.each([[8, 0], [2, 1]])('estimates the object capacity only from instances that are not busy: %i requests a second for each object', (perSecond, estimates) => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		simulate(plan, {
			instances: instancesOf('a', 4), objects, perSecond, fromMs: 0, forMs: 15_000,
		}, nowMs => {
			plan.applyReport({
				haveVersion: 0, known: [], host: 'h2', slow: [], runs: objects.map((object, index) => ['s', '/r/', 0, object, index % 2 === 0 ? 100 : 300]), routes: [], objects: [],
			}, nowMs);
		});
		expect(plan.objectCapacities).toHaveLength(estimates);
	});

	it('reserves a quarter of the instances for the most urgent requests until their load is known', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		const instances = instancesOf('a', 40);
		const priorities = new Map([['s', [0, 2]]]);
		const counts: number[] = [];
		for (let nowMs = 0; nowMs < 6500; nowMs += tickMs) {
			if (nowMs >= 4000) {
				plan.applyReport({
					haveVersion: 0, known: [], host: 'h1', slow: [], runs: [], routes: [], objects: [['s', '/urgent/', 0, 'k1', 1, []], ['s', '/slow/', 2, 'k1', 1, []]],
				}, nowMs);
			}

			plan.tick({instances, priorities, hosts: new Map()}, nowMs);
			counts.push(plan.regionLoad().reserved.length);
		}

		expect(Math.min(...counts)).toBeGreaterThanOrEqual(10);
	});

	describe('with a single instance for all priorities', () => {
		const instances = [...instancesOf('a', 1), ...instancesOf('b', 4)];
		const requests = (slow: number) => objects.flatMap(object =>
			[['s', '/urgent/', 0, object, 1, []], ['s', '/slow/', 2, object, slow, []]] as Array<[string, string, number, string, number, string[]]>);

		function simulateBothPriorities(plan: PlacementPlan, slow: number, forMs: number, onTick: (nowMs: number) => void): void {
			for (let nowMs = 0; nowMs < forMs; nowMs += tickMs) {
				plan.applyReport({
					haveVersion: 0, known: [], host: 'h1', slow: [], runs: [], routes: [['s', '/urgent/', 20], ['s', '/slow/', 100]], objects: requests(slow),
				}, nowMs);
				plan.tick({instances, priorities: new Map(), hosts: new Map()}, nowMs);
				onTick(nowMs);
			}
		}

		const remoteCountOf = (plan: PlacementPlan, priority: number) => objects.filter(object => plan.instanceOf(objectId('s', priority, object)).startsWith('b')).length;

		it('reserves it for the most urgent requests when it is too busy, and moves the others no faster than the cap on cross-region shifts', () => {
			const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
			let before = 0;
			let maxShift = 0;
			simulateBothPriorities(plan, 1, 30_000, nowMs => {
				if (nowMs >= 4000) {
					plan.applyRegionLoad({
						region: 'b', pools: [['s|rest', 12, 0]], reserved: [], offers: [['s|rest', 'a', 12]], uses: [], times: [],
					}, nowMs);
				}

				if (nowMs % 2000 === 0) {
					maxShift = Math.max(maxShift, remoteCountOf(plan, 2) - before);
					before = remoteCountOf(plan, 2);
				}
			});
			expect(remoteCountOf(plan, 2)).toBe(objects.length);
			expect(remoteCountOf(plan, 0)).toBe(0);
			expect(maxShift / (2 * objects.length)).toBeLessThanOrEqual(0.15 + (1 / (2 * objects.length)));
		});

		it('shares it while no other region offers slots', () => {
			const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
			simulateBothPriorities(plan, 1, 20_000, () => undefined);
			expect(remoteCountOf(plan, 2)).toBe(0);
		});

		it('shares it while it is not too busy', () => {
			const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
			for (let nowMs = 0; nowMs < 20_000; nowMs += tickMs) {
				plan.applyRegionLoad(loadOf('b', 12, 0, 12), nowMs);
				plan.applyReport({
					haveVersion: 0, known: [], host: 'h1', slow: [], runs: [], routes: [['s', '/urgent/', 20], ['s', '/slow/', 20]], objects: requests(1).slice(0, 8),
				}, nowMs);
				plan.tick({instances, priorities: new Map(), hosts: new Map()}, nowMs);
			}

			expect(objects.slice(0, 4).map(object => plan.instanceOf(objectId('s', 2, object)))).toEqual(['a0', 'a0', 'a0', 'a0']);
		});
	});

	it('offers only free slots to other regions, and more of them to busier regions', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		plan.applyRegionLoad(loadOf('b', 6, 6, 0), 9000);
		plan.applyRegionLoad(loadOf('c', 6, 3, 0), 9000);
		simulate(plan, {
			instances: instancesOf('a', 4), objects: objects.slice(0, 4), perSecond: 2, fromMs: 0, forMs: 10_000,
		});
		const offers = new Map(plan.regionLoad().offers.map(([, region, slots]) => [region, slots]));
		expect(offers.get('b')).toBeGreaterThan(offers.get('c')!);
		expect(offers.get('b')! + offers.get('c')!).toBeLessThanOrEqual(12);
	});
});

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type LiveInstance} from '../contracts/live-instance.js';
import {ColdRateLimiter} from './cold-rate-limiter.js';
import {InstanceHealth} from './instance-health.js';
import {InstanceTable} from './instance-table.js';
import {objectId} from './object-id.js';
import {Placement} from './placement.js';
import {RetryShare} from './retry-share.js';
import {SeededRandom} from './seeded-random.js';
import {RequestAttempts} from './request-attempts.js';

const regionOf = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b']]);

function instance(id: string, fields: Partial<LiveInstance> = {}): LiveInstance {
	return {
		id, born: 1, service: 's', address: '10.0.0.1:80', zone: 'a-1', slots: 3, isDraining: false, coldMs: 0, ...fields,
	};
}

describe('request attempts', () => {
	const results = ['not_sent', 'rejected', 'unknown'] as const;

	it('never retries a request that is not repeatable and may have run', () => {
		fc.assert(fc.property(fc.array(fc.constantFrom(...results), {maxLength: 8}), fc.integer({min: 1, max: 5}), (sequence, maxAttempts) => {
			const attempts = new RequestAttempts({isRepeatable: false, maxAttempts});
			for (const result of sequence) {
				const isRetryAllowed = attempts.recordResult(result);
				expect(isRetryAllowed && attempts.mayHaveRun).toBe(false);
				if (!isRetryAllowed) {
					return;
				}
			}
		}));
	});

	it('reaches instances no more often than the route allows', () => {
		fc.assert(fc.property(fc.array(fc.constantFrom(...results), {maxLength: 12}), fc.integer({min: 1, max: 5}), (sequence, maxAttempts) => {
			const attempts = new RequestAttempts({isRepeatable: true, maxAttempts});
			let arrivals = 0;
			for (const result of sequence) {
				arrivals += result === 'not_sent' ? 0 : 1;
				if (!attempts.recordResult(result)) {
					break;
				}
			}

			expect(arrivals).toBeLessThanOrEqual(maxAttempts);
		}));
	});

	it('reports "not run" only if every attempt is proven not to have run', () => {
		const attempts = new RequestAttempts({isRepeatable: true, maxAttempts: 3});
		attempts.recordResult('unknown');
		attempts.recordResult('rejected');
		expect(attempts.mayHaveRun).toBe(true);
	});
});

describe('retry share', () => {
	it('keeps the retries of all hosts together within the limit', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 40}), fc.array(fc.integer({min: 0, max: 200}), {minLength: 1, maxLength: 40}), (extra, requestCounts) => {
			const hosts = requestCounts.length + extra;
			let retries = 0;
			for (const count of requestCounts) {
				const share = new RetryShare({ratio: 0.2, slack: 120, windowMs: 10_000});
				for (let index = 0; index < count; index++) {
					share.recordRequest('s', index * 10);
				}

				while (share.take('s', hosts, 2500)) {
					retries++;
				}
			}

			const total = requestCounts.reduce((sum, count) => sum + count, 0);
			expect(retries).toBeLessThanOrEqual((0.2 * total) + 120);
		}));
	});

	it('allows retries again after the window', () => {
		const share = new RetryShare({ratio: 0, slack: 10, windowMs: 1000});
		while (share.take('s', 1, 0)) {/* Uses up the share. */}

		expect(share.take('s', 1, 500)).toBe(false);
		expect(share.take('s', 1, 2500)).toBe(true);
	});
});

describe('cold rate limiter', () => {
	it('keeps three concurrent designated senders of one instance within its limit in any second', () => {
		const arrivals: number[] = [];
		for (let host = 0; host < 3; host++) {
			const coldLimiter = new ColdRateLimiter();
			for (let nowMs = 0; nowMs < 5000; nowMs += 7) {
				if (coldLimiter.take('i', 12.5, 1 / 3, nowMs)) {
					arrivals.push(nowMs);
				}
			}
		}

		for (let startMs = 0; startMs < 4000; startMs += 50) {
			expect(arrivals.filter(atMs => atMs >= startMs && atMs < startMs + 1000).length).toBeLessThanOrEqual(12.5);
		}
	});
});

describe('instance health', () => {
	it('closes an instance that refuses connections, and opens it after one response', () => {
		const health = new InstanceHealth();
		health.recordResult('unreachable', 0);
		expect(health.state(100)).toBe('closed');
		expect(health.state(600)).toBe('probe');
		health.recordStart(600);
		expect(health.state(601)).toBe('closed');
		health.recordResult('answered', 700);
		expect(health.state(700)).toBe('open');
	});

	it('closes an instance after two lost connections in a row, not after one', () => {
		const health = new InstanceHealth();
		health.recordResult('lost', 0);
		expect(health.state(0)).toBe('open');
		health.recordResult('lost', 10);
		expect(health.state(10)).toBe('closed');
	});
});

describe('instance table', () => {
	it('excludes instances that are draining, evacuated or removed', () => {
		const table = new InstanceTable({regionOf});
		table.write(instance('i1'), 0);
		table.write(instance('i2', {isDraining: true}), 0);
		table.write(instance('i3', {zone: 'a-2'}), 0);
		table.write(instance('i4'), 0);
		table.remove('i4', 0, 0);
		table.evacuate(new Set(['a-2']));
		expect(table.serving('s').map(entry => entry.instance.id)).toEqual(['i1']);
		table.evacuate(new Set());
		expect(table.serving('s').map(entry => entry.instance.id)).toEqual(['i1', 'i3']);
	});

	it('keeps an entry that is missing from the store until its removal time, unless the store lists it again', () => {
		const table = new InstanceTable({regionOf});
		table.write(instance('i1'), 0);
		table.write(instance('i2'), 0);
		table.remove('i1', 2000, 0);
		table.remove('i2', 2000, 0);
		table.write(instance('i2'), 1000);
		table.expire(1999);
		expect(table.size).toBe(2);
		table.expire(2000);
		expect(table.serving('s').map(entry => entry.instance.id)).toEqual(['i2']);
	});

	it('excludes an instance that stated that it leaves, also if the store lists it as ready again, until another process runs under its id or address', () => {
		const table = new InstanceTable({regionOf});
		table.write(instance('i1'), 0);
		table.notices.recordLeaving(instance('i1'));
		expect(table.serving('s')).toEqual([]);
		expect(table.available(0)).toEqual([]);
		table.remove('i1', 0, 0);
		table.write(instance('i1', {slots: 4}), 100);
		expect(table.serving('s')).toEqual([]);
		expect(table.leaving().map(({id}) => id)).toEqual(['i1']);
		table.write(instance('i1', {born: 2}), 200);
		table.write(instance('i2'), 200);
		expect(table.serving('s').map(entry => entry.instance.id)).toEqual(['i1', 'i2']);
		expect(table.leaving()).toEqual([]);
	});

	it('keeps the longest pause that an instance asked for, bounds it, and ends it with time', () => {
		const table = new InstanceTable({regionOf});
		table.write(instance('i1'), 0);
		table.notices.recordPause(instance('i1'), 1500, 0);
		table.notices.recordPause(instance('i1'), 100, 0);
		expect(table.paused(1000)).toEqual([{id: 'i1', pauseMs: 500}]);
		expect(table.paused(1500)).toEqual([]);
		table.notices.recordPause(instance('i1'), 3_600_000, 2000);
		expect(table.paused(2000)).toEqual([{id: 'i1', pauseMs: 600_000}]);
		table.write(instance('i1', {born: 2}), 2000);
		expect(table.paused(2000)).toEqual([]);
	});

	it('treats a new process under a known id as another instance', () => {
		const table = new InstanceTable({regionOf});
		table.write(instance('i1'), 0);
		table.get('i1')!.health.recordResult('unreachable', 0);
		table.write(instance('i1', {born: 2, coldMs: 3000}), 100);
		expect(table.get('i1')!.health.state(100)).toBe('open');
		expect(table.isCold(table.get('i1')!, 3000)).toBe(true);
		expect(table.isCold(table.get('i1')!, 3200)).toBe(false);
	});
});

describe('placement', () => {
	function setUp(assignments = new Map<string, string>(), isDesignatedSender = false, hosts = new Map<string, number>(), priorities: readonly number[] = []) {
		const table = new InstanceTable({regionOf});
		const placement = new Placement({
			table,
			coldLimiter: new ColdRateLimiter(),
			random: new SeededRandom(1),
			region: 'a',
			hostsByRegion: () => hosts,
			coldShare: () => (isDesignatedSender ? 1 / 3 : 0),
			assignments,
			prioritiesOf: () => priorities,
			urgentTargetMs: () => 200,
			reservationOf: () => undefined,
		});
		const decide = (objectKey: string | undefined, fields: Partial<Parameters<Placement['choose']>[0]> = {}, nowMs = 0) => placement.choose({
			service: 's', objectKey, priority: 0, isRepeatable: true, allowedRegions: [], avoid: new Set(), coldPerSecond: 12, remainingMs: 400, targetMs: 400, runMs: 150, ...fields,
		}, nowMs);
		const choose = (...args: Parameters<typeof decide>) => {
			const choice = decide(...args);
			return choice.kind === 'instance' ? choice.entry.instance.id : undefined;
		};

		return {table, choose, decide};
	}

	it('sends an object\'s requests to one instance, and moves only the objects of an instance that is removed', () => {
		const {table, choose} = setUp();
		for (const id of ['i1', 'i2', 'i3', 'i4']) {
			table.write(instance(id), 0);
		}

		const keys = Array.from({length: 60}, (_, index) => `k${index}`);
		const before = keys.map(key => choose(key));
		expect(keys.map(key => choose(key))).toEqual(before);
		table.remove('i2', 0, 0);
		for (const [index, key] of keys.entries()) {
			if (before[index] !== 'i2') {
				expect(choose(key)).toBe(before[index]);
			}
		}
	});

	it('uses the planner\'s assignment while the instance accepts requests', () => {
		const {table, choose} = setUp(new Map([[objectId('s', 0, 'k'), 'far']]));
		table.write(instance('near'), 0);
		table.write(instance('far', {zone: 'b-1'}), 0);
		expect(choose('k')).toBe('far');
		table.write(instance('far', {zone: 'b-1', isDraining: true}), 0);
		expect(choose('k')).toBe('near');
	});

	it('uses another region only if the own one has no instance, and only a region that the route allows', () => {
		const {table, choose} = setUp();
		table.write(instance('far', {zone: 'b-1'}), 0);
		expect(choose('k')).toBe('far');
		expect(choose('k', {allowedRegions: ['a']})).toBeUndefined();
		table.write(instance('near'), 0);
		expect(choose('k')).toBe('near');
	});

	it.each(['cold', 'unreachable', 'warm'] as const)('beside a slow machine takes no empty queue for a free one, unless its instance is warm: %s', state => {
		const {table, choose} = setUp(undefined, true);
		table.write(instance('slow'), 0);
		table.write(instance('other', {coldMs: state === 'cold' ? 60_000 : 0}), 0);
		table.get('slow')!.queue.recordResponse({
			running: 3, waiting: 0, slots: 3, timeFactor: 3,
		}, 150, 0, 0);
		if (state === 'unreachable') {
			table.get('other')!.health.recordResult('unreachable', -10_000);
		}

		const chosen = Array.from({length: 40}, () => choose(undefined, {coldPerSecond: 1000}, 1));
		expect(chosen.filter(id => id === 'slow').length > 5).toBe(state !== 'warm');
	});

	it('starts some objects in another region if the own one has many hosts and few slots, in the same way at each call', () => {
		const {table, choose} = setUp(undefined, false, new Map([['a', 4], ['b', 4]]));
		for (const [id, zone] of [['a0', 'a-1'], ['b0', 'b-1'], ['b1', 'b-1'], ['b2', 'b-1']] as const) {
			table.write(instance(id, {zone}), 0);
		}

		const keys = Array.from({length: 200}, (_, index) => `k${index}`);
		const chosen = keys.map(key => choose(key));
		const remoteShare = chosen.filter(id => id?.startsWith('b')).length / keys.length;
		expect(remoteShare).toBeGreaterThan(0.25);
		expect(remoteShare).toBeLessThan(0.45);
		expect(keys.map(key => choose(key))).toEqual(chosen);
		expect(keys.every(key => choose(key, {allowedRegions: ['a']}) === 'a0')).toBe(true);
	});

	it('keeps the most urgent requests in the own region and on separate instances before the planner has made a reservation', () => {
		const {table, choose} = setUp(undefined, false, new Map([['a', 4], ['b', 4]]), [0, 2]);
		for (const [id, zone] of [['a0', 'a-1'], ['a1', 'a-1'], ['b0', 'b-1'], ['b1', 'b-1'], ['b2', 'b-1'], ['b3', 'b-1']] as const) {
			table.write(instance(id, {zone}), 0);
		}

		const keys = Array.from({length: 60}, (_, index) => `k${index}`);
		const urgent = new Set(keys.map(key => choose(key, {priority: 0})));
		const others = new Set(keys.map(key => choose(key, {priority: 2})));
		expect(urgent.size).toBe(1);
		expect([...urgent][0]).toMatch(/^a/);
		expect(others.has([...urgent][0])).toBe(false);
		expect([...others].some(id => id?.startsWith('b'))).toBe(true);
	});

	it('starts some objects of the most urgent requests in another region if the own one has very few of the slots', () => {
		const {table, choose} = setUp(undefined, false, new Map([['a', 4], ['b', 4]]), [0, 2]);
		for (const [id, zone] of [['a0', 'a-1'], ['a1', 'a-1'], ...Array.from({length: 18}, (_, index): [string, string] => [`b${index}`, 'b-1'])] as const) {
			table.write(instance(id, {zone}), 0);
		}

		const keys = Array.from({length: 200}, (_, index) => `k${index}`);
		const remoteShare = (priority: number) => keys.filter(key => choose(key, {priority})?.startsWith('b')).length / keys.length;
		expect(remoteShare(0)).toBeGreaterThan(0.5);
		expect(remoteShare(0)).toBeLessThan(0.7);
		expect(remoteShare(2)).toBeGreaterThan(remoteShare(0));
	});

	it('sends to a cold instance only as its designated sender, and within the rate limit', () => {
		const {table, choose} = setUp();
		table.write(instance('i1', {coldMs: 3000}), 0);
		expect(choose('k')).toBeUndefined();
		const designatedSender = setUp(undefined, true);
		designatedSender.table.write(instance('i1', {coldMs: 3000}), 0);
		const sent = Array.from({length: 20}, () => designatedSender.choose('k')).filter(id => id !== undefined);
		expect(sent).toHaveLength(4);
	});

	describe('when an object\'s instance is busy', () => {
		const full = {running: 3, waiting: 6, slots: 3};
		const idle = {running: 1, waiting: 0, slots: 3};

		function setUpBusy() {
			const {table, ...rest} = setUp(new Map([[objectId('s', 0, 'k'), 'i1']]));
			for (const id of ['i1', 'i2']) {
				table.write(instance(id), 0);
				table.get(id)!.queue.recordResponse(idle, 150, 0, 0);
			}

			return {table, ...rest};
		}

		it('sends a request there if its run still ends before the deadline', () => {
			const {table, choose} = setUpBusy();
			table.get('i1')!.queue.updateLoad({running: 3, waiting: 3, slots: 3}, 0);
			expect(choose('k')).toBe('i1');
		});

		it('refuses a request that would miss its deadline, and returns by how much the wait is too long', () => {
			const {table, decide, choose} = setUpBusy();
			table.get('i1')!.queue.updateLoad(full, 0);
			expect(decide('k')).toEqual({kind: 'busy', excessMs: 50});
			expect(choose('k', {remainingMs: 1500})).toBe('i1');
		});

		it('sends requests again as the queue shrinks with time, without a new report of the instance', () => {
			const {table, choose} = setUpBusy();
			table.get('i1')!.queue.updateLoad(full, 0);
			expect(choose('k', {}, 51)).toBe('i1');
		});

		it('does not expect a request to run as long as other requests at the instance did', () => {
			const {table, choose} = setUpBusy();
			table.get('i1')!.queue.recordResponse({running: 3, waiting: 0, slots: 3}, 3000, 0, 0);
			expect(choose('k', {remainingMs: 1200})).toBe('i1');
		});

		it('sends one of the most urgent requests to another instance of the region', () => {
			const {table, choose} = setUp(new Map([[objectId('s', 0, 'k'), 'i1'], [objectId('s', 2, 'k'), 'i1']]), false, undefined, [0, 2]);
			for (const [id, zone] of [['i1', 'a-1'], ['i2', 'a-1'], ['b1', 'b-1']] as const) {
				table.write(instance(id, {zone}), 0);
				table.get(id)!.queue.recordResponse(idle, 150, 0, 0);
			}

			table.get('i1')!.queue.updateLoad(full, 0);
			expect(choose('k', {priority: 2})).toBeUndefined();
			expect(choose('k')).toBe('i2');
			table.get('i2')!.queue.updateLoad(full, 0);
			expect(choose('k')).toBeUndefined();
		});

		it('does not queue a request where more urgent requests would queue behind it', () => {
			const {table, choose} = setUp(undefined, false, undefined, [0, 2]);
			table.write(instance('only'), 0);
			table.get('only')!.queue.recordResponse(idle, 150, 0, 0);
			expect(choose('k', {priority: 2, remainingMs: 4000})).toBe('only');
			table.get('only')!.queue.updateLoad({running: 3, waiting: 2, slots: 3}, 0);
			expect(choose('k', {priority: 2, remainingMs: 4000})).toBeUndefined();
			expect(choose('k', {priority: 0, remainingMs: 4000})).toBe('only');
		});
	});

	describe('when instances asked for a pause', () => {
		const pause = (table: InstanceTable, id: string, pauseMs: number) => {
			table.notices.recordPause(instance(id), pauseMs, 0);
		};

		it('sends an object\'s requests to another instance meanwhile, and back afterwards', () => {
			const {table, choose} = setUp(new Map([[objectId('s', 0, 'k'), 'i1']]));
			table.write(instance('i1'), 0);
			table.write(instance('i2'), 0);
			pause(table, 'i1', 700);
			expect(choose('k', {}, 699)).toBe('i2');
			expect(choose('k', {}, 700)).toBe('i1');
		});

		it('does not probe an unreachable instance before the end of its pause', () => {
			const {table, choose} = setUp(undefined, true);
			table.write(instance('i1'), 0);
			table.get('i1')!.health.recordResult('unreachable', 0);
			pause(table, 'i1', 900);
			expect(choose('k', {}, 800)).toBeUndefined();
			expect(choose('k', {}, 900)).toBe('i1');
		});

		it('returns the shortest rest of a pause if all instances asked for one, including those already tried', () => {
			const {table, decide} = setUp();
			table.write(instance('i1'), 0);
			table.write(instance('i2'), 0);
			pause(table, 'i1', 900);
			pause(table, 'i2', 300);
			expect(decide('k', {avoid: new Set(['i2'])}, 100)).toEqual({kind: 'paused', pauseMs: 200});
		});

		it('does not return a pause if an instance that was tried already asked for none', () => {
			const {table, decide} = setUp();
			table.write(instance('i1'), 0);
			table.write(instance('i2'), 0);
			pause(table, 'i1', 900);
			expect(decide('k', {avoid: new Set(['i2'])})).toEqual({kind: 'none'});
		});
	});

	it('probes an instance that failed with repeatable requests only', () => {
		const {table, choose} = setUp(undefined, true);
		table.write(instance('i1'), 0);
		table.get('i1')!.health.recordResult('unreachable', 0);
		expect(choose('k', {}, 100)).toBeUndefined();
		expect(choose('k', {isRepeatable: false}, 600)).toBeUndefined();
		expect(choose('k', {}, 600)).toBe('i1');
	});
});

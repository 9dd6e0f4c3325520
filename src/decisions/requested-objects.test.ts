import {describe, expect, it} from 'vitest';
import {ObjectAssignments} from './object-assignments.js';
import {RequestedObjects} from './requested-objects.js';

// Guards against tables and reports that grow with the number of keys that clients make up.
describe('of the objects that clients request', () => {
	it('a report has the most requested ones only, and of those requested equally often the assigned ones', () => {
		const objects = new RequestedObjects<string>(10);
		objects.add('assigned', 'assigned', true);
		for (let index = 0; index < 1000; index++) {
			objects.add(`new-${index}`, `new-${index}`, false);
			if (index % 5 === 0) {
				objects.add('often', 'often', false);
			}
		}

		const taken = objects.take();
		expect(taken).toHaveLength(10);
		expect(taken.map(([value]) => value)).toEqual(expect.arrayContaining(['often', 'assigned']));
		expect(objects.take()).toEqual([]);
	});

	it('the planner keeps the most requested ones, and tells of a bounded number of changes at a time', () => {
		const assignments = new ObjectAssignments({version: 1, known: new Map(), maxObjects: 100}, 0);
		for (let tick = 0; tick < 50; tick++) {
			const nowMs = tick * 500;
			const {version} = assignments;
			assignments.withdrawLeastUsed(nowMs);
			assignments.getOrAdd('s', 0, 'often', nowMs)!.demand.recordRequests('r', 20, nowMs);
			for (let index = 0; index < 1000; index++) {
				const object = assignments.getOrAdd('s', 0, `new-${tick}-${index}`, nowMs);
				object?.demand.recordRequests('r', 1, nowMs);
				if (object !== undefined) {
					assignments.assign(object, 'i');
				}
			}

			expect(assignments.ofService('s').length).toBeLessThanOrEqual(125);
			expect(assignments.changesSince(version).length).toBeLessThanOrEqual(50);
			expect(assignments.changesSince(0).length).toBeLessThanOrEqual(250);
		}

		expect(assignments.get('s|0|often')).toBeDefined();
	});
});

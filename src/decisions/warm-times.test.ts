import {describe, expect, it} from 'vitest';
import {WarmTimes} from './warm-times.js';

const answer = (objectKey: string, instanceId: string, tookMs: number) => ({
	service: 's', route: '/r/', objectKey, instanceId, tookMs,
});

describe('times of warm runs', () => {
	it('leave out the first run of an object at an instance', () => {
		const times = new WarmTimes();
		times.count(answer('k1', 'i1', 900));
		times.count(answer('k2', 'i1', 880));
		expect(times.take()).toEqual([]);
		times.count(answer('k1', 'i1', 300));
		times.count(answer('k2', 'i2', 50));
		times.count(answer('k1', 'i1', 260));
		expect(times.take()).toEqual([['s', '/r/', 260]]);
		expect(times.take()).toEqual([]);
	});
});

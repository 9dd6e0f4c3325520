import {describe, expect, it} from 'vitest';
import {hostCapacities} from './host-capacities.js';

const host = (processor: number, linkMbps: number, busyLevel = 0) => ({size: {processor, linkMbps}, busyLevel});
const unknown = {size: undefined, busyLevel: 0};

describe('hostCapacities', () => {
	it('counts the smaller of a host\'s shares of processor and link, so that neither is overloaded', () => {
		expect(hostCapacities([host(1, 10), host(1, 30), host(2, 40)]).map(({share}) => share)).toEqual([0.125, 0.25, 0.5]);
	});

	it('counts a host of unknown size as the mean of the known ones instead of as none or all', () => {
		expect(hostCapacities([host(1, 10), unknown, host(3, 30)]).map(({share}) => share)).toEqual([0.25, 0.5, 0.75]);
		expect(hostCapacities([unknown, unknown]).map(({share}) => share)).toEqual([1, 1]);
	});

	it('reduces the capacity of a busy host, but never to nothing, also at a level of a later release', () => {
		expect(hostCapacities([0, 1, 3, 9].map(level => host(1, 10, level))).map(({capacity}) => capacity)).toEqual([0.25, 0.1875, 0.0625, 0.0625]);
	});
});

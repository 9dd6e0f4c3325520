import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {HostSelection} from './host-selection.js';

const maxHosts = 64;
const clients = Array.from({length: 4000}, (_, index) => `10.1.${Math.floor(index / 200)}.${index % 200}`);

function selectionOf(capacities: readonly number[], shares = capacities) {
	return new HostSelection(capacities.map((capacity, index) => ({id: `edge-${index}`, share: shares[index]!, capacity})), maxHosts);
}

describe('HostSelection', () => {
	it('names 3 to 64 hosts, none twice, the same for a client at every process', () => {
		fc.assert(fc.property(fc.array(fc.double({min: 0.01, max: 1, noNaN: true}), {minLength: 3, maxLength: 200}), fc.ipV4(), (capacities, client) => {
			const names = selectionOf(capacities).select(client).map(({id}) => id);
			expect(names.length).toBeGreaterThanOrEqual(3);
			expect(names.length).toBeLessThanOrEqual(maxHosts);
			expect(new Set(names).size).toBe(names.length);
			expect(selectionOf(capacities).select(client).map(({id}) => id)).toEqual(names);
		}), {seed: 11, numRuns: 300});
	});

	it('names each host in a share of the answers that is proportional to its capacity', () => {
		const capacities = [0.02, 0.03, 0.06, 0.08, 0.11, 0.14, 0.14, 0.14];
		const selection = selectionOf(capacities);
		const total = capacities.reduce((sum, capacity) => sum + capacity, 0);
		const counts = new Map<string, number>();
		for (const {id} of clients.flatMap(client => selection.select(client))) {
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		for (const [index, capacity] of capacities.entries()) {
			expect(Math.abs((counts.get(`edge-${index}`)! / clients.length) - (selection.meanSize * capacity / total))).toBeLessThan(0.03);
		}
	});

	it('names a host with most of the capacity in all answers, and the others in proportion', () => {
		const selection = selectionOf([10, 1, 1, 2, 2]);
		expect(selection.meanSize).toBe(3);
		expect(selection.shares).toEqual([1, 1 / 3, 1 / 3, 2 / 3, 2 / 3]);
	});

	it.each([
		['of equal size', 5, Array.from({length: 5}, () => 0.2)],
		['of equal size, though one is busy', 5, [0.2, 0.05, 0.2, 0.2, 0.2]],
		['of equal size up to rounding', 5, [0.2, 0.1 + 0.1, 0.3 - 0.1, 0.2, 0.2]],
		['of which there are more than fit', 64, Array.from({length: 90}, () => 0.2)],
	])('names the first hosts, as before, if all are %s', (_, size, capacities) => {
		const names = selectionOf(capacities, capacities.map(() => 0.2)).select('10.0.0.1').map(({id}) => id);
		expect(names).toEqual(Array.from({length: size}, (_, index) => `edge-${index}`));
	});

	it('names all of three hosts, however much they differ', () => {
		expect(selectionOf([1, 1, 30]).select('10.0.0.1')).toHaveLength(3);
	});

	it.each([
		['a host is lost', (host: number) => (host === 1 ? 0 : 1)],
		['a small host gets busy', (host: number) => (host === 1 ? 0.5 : 1)],
		['the largest host gets busy', (host: number) => (host === 6 ? 0.75 : 1)],
	])('takes away few hosts from clients when %s', (_, factor) => {
		const shares = Array.from({length: 12}, (_, index) => 1 + (0.83 * (index % 7)));
		const before = selectionOf(shares);
		const after = new HostSelection(before.hosts.map((host, index) => ({...host, capacity: host.share * factor(index)})).filter(({capacity}) => capacity > 0), maxHosts);
		const taken = clients.map(client => {
			const names = new Set(after.select(client).map(({id}) => id));
			return before.select(client).filter(({id}) => !names.has(id)).length / before.select(client).length;
		});
		expect(taken.reduce((sum, part) => sum + part, 0) / clients.length).toBeLessThan(0.1);
	});
});

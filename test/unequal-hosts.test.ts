import {describe, expect, it} from 'vitest';
import {hostCapacities} from '../src/decisions/host-capacities.js';
import {HostSelection} from '../src/decisions/host-selection.js';
import {playDirectoryClients} from '../tools/directory-clients-model.js';

/** Sizes of the hosts of a zone, 7-fold apart in processor and 20-fold in link. */
const sizes = [[0.189, 14], [0.3, 7], [0.45, 40], [0.621, 60], [0.621, 140], [0.8, 90], [0.95, 100], [1.1, 140], [1.35, 120], [1.35, 140]] as const;

function selectionOf(busyLevels: readonly number[] = [], present = sizes.map((_, index) => index)) {
	const rated = hostCapacities(present.map(index => ({size: {processor: sizes[index]![0], linkMbps: sizes[index]![1]}, busyLevel: busyLevels[index] ?? 0})));
	return new HostSelection(rated.map((capacity, position) => ({id: `h${present[position]!}`, index: present[position]!, ...capacity})), 64);
}

const indices = (selection: ReturnType<typeof selectionOf>, client: string) => selection.select(client).map(({index}) => index);
const all = sizes.map((_, index) => index);

/** Returns the largest relative difference between a host's share of the connections and its share of the capacity. */
function largestError(shares: readonly number[], capacities: readonly number[]): number {
	const total = capacities.reduce((sum, value) => sum + value, 0);
	return Math.max(...shares.map((share, index) => Math.abs((share / (capacities[index]! / total)) - 1)));
}

const capacities = selectionOf().hosts.map(({capacity}) => capacity);
const common = {clients: 1200, seconds: 90, hosts: sizes.length};

describe('clients of hosts that differ 7-fold in processor and 20-fold in link', () => {
	describe.each([1, 2, 3])('with seed %s', seed => {
		it('share out their connections by capacity, where the former rule gave the smallest host several times its part', () => {
			const selection = selectionOf();
			const now = playDirectoryClients({...common, seed, resolve: client => indices(selection, client)});
			const former = playDirectoryClients({...common, seed, resolve: () => all});
			expect(largestError(now.shares, capacities)).toBeLessThan(0.2);
			expect(largestError(former.shares, capacities)).toBeGreaterThan(3);
		});

		it('drop no connection while capacities stay, unlike with answers that are drawn for each look-up', () => {
			const selection = selectionOf();
			const now = playDirectoryClients({...common, seed, resolve: client => indices(selection, client)});
			const drawn = playDirectoryClients({...common, seed, resolve: (client, lookup) => indices(selection, `${client}#${lookup}`)});
			expect(now.dropsPerClientMinute).toBe(0);
			expect(drawn.dropsPerClientMinute).toBeGreaterThan(20);
		});

		it('drop few connections when a host gets busy and has room again', () => {
			const usual = selectionOf();
			const busy = selectionOf([0, 0, 0, 0, 0, 0, 0, 0, 2]);
			const {dropsPerClientMinute} = playDirectoryClients({
				...common, seed, resolve: (client, _, nowSeconds) => indices(nowSeconds >= 30 && nowSeconds < 60 ? busy : usual, client),
			});
			expect(dropsPerClientMinute).toBeLessThan(0.6);
		});

		it('drop few connections to other hosts when a host leaves and another one takes its place', () => {
			const before = selectionOf([], all.filter(index => index !== 4));
			const after = selectionOf([], all.filter(index => index !== 5));
			const {dropsPerClientMinute} = playDirectoryClients({...common, seed, resolve: (client, _, nowSeconds) => indices(nowSeconds < 45 ? before : after, client)});
			expect(dropsPerClientMinute).toBeLessThan(0.6);
		});
	});
});

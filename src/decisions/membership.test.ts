import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SimulatedNetwork} from '../../stand-ins/simulated-network.js';
import {rendezvousOrder} from './rendezvous-order.js';

/** Longest time from a crash until all members know of it: probe rounds, two failed probes, suspicion and dissemination. */
const detectionMs = 20_000;

function allAgreeOn(network: SimulatedNetwork, ids: readonly string[]): boolean {
	return network.nodes.every((node, index) => node.isDown || node.isFrozen || JSON.stringify(network.aliveAt(index).toSorted()) === JSON.stringify(ids.toSorted()));
}

describe('membership', () => {
	describe('joining', () => {
		it('discovers all hosts of a region through the listed addresses', () => {
			const network = new SimulatedNetwork({regions: {dsm: 6}, seed: 1});
			network.run(10_000);
			expect(allAgreeOn(network, ['dsm-0', 'dsm-1', 'dsm-2', 'dsm-3', 'dsm-4', 'dsm-5'])).toBe(true);
		});

		it('discovers the hosts of other regions', () => {
			const network = new SimulatedNetwork({regions: {dsm: 3, aru: 3}, seed: 2});
			network.run(20_000);
			for (const node of network.nodes) {
				const other = node.region === 'dsm' ? 'aru' : 'dsm';
				expect(node.membership.hostsOf(other).map(member => member.id).toSorted()).toEqual([0, 1, 2].map(index => `${other}-${index}`));
			}
		});

		it('gives a service the same owner at all hosts', () => {
			const network = new SimulatedNetwork({regions: {dsm: 6}, seed: 3});
			network.run(10_000);
			const owners = network.nodes.map(node => rendezvousOrder('rostrum', node.membership.candidates(), member => `${member.id}/${member.boot}`)[0]?.id);
			expect(new Set(owners).size).toBe(1);
		});
	});

	describe('failures', () => {
		it('detects a killed host', () => {
			const network = new SimulatedNetwork({regions: {dsm: 6}, seed: 4});
			network.run(10_000);
			network.kill(2);
			network.run(detectionMs);
			expect(allAgreeOn(network, ['dsm-0', 'dsm-1', 'dsm-3', 'dsm-4', 'dsm-5'])).toBe(true);
		});

		it('treats a restarted host as a new process and removes the old one', () => {
			const network = new SimulatedNetwork({regions: {dsm: 4}, seed: 5});
			network.run(10_000);
			network.kill(1);
			network.run(500);
			network.restart(1);
			network.run(detectionMs);
			expect(allAgreeOn(network, ['dsm-0', 'dsm-1', 'dsm-2', 'dsm-3'])).toBe(true);
		});

		it('does not let a host that was frozen decide for others until a peer has acknowledged a probe', () => {
			const network = new SimulatedNetwork({regions: {dsm: 4}, seed: 6});
			network.run(10_000);
			network.freeze(0);
			network.run(30_000);
			const {membership} = network.nodes[0]!;
			expect(membership.isConfident(network.nowMs)).toBe(false);
			network.unfreeze(0);
			network.run(100);
			expect(membership.isConfident(network.nowMs)).toBe(false);
			network.run(5000);
			expect(membership.isConfident(network.nowMs)).toBe(true);
			network.run(detectionMs);
			expect(allAgreeOn(network, ['dsm-0', 'dsm-1', 'dsm-2', 'dsm-3'])).toBe(true);
		});

		it('keeps two regions working while the network between them is cut, and reconnects them afterwards', () => {
			const network = new SimulatedNetwork({regions: {dsm: 3, aru: 3}, seed: 7});
			network.run(20_000);
			const cut = (isCut: boolean) => {
				for (const a of [0, 1, 2]) {
					for (const b of [3, 4, 5]) {
						network.setLinkCut(a, b, isCut);
					}
				}
			};

			cut(true);
			network.kill(4);
			network.run(60_000);
			expect(network.aliveAt(0)).toHaveLength(3);
			expect(network.aliveAt(3)).toHaveLength(2);
			expect(network.nodes[0]!.membership.msSinceContact('aru', network.nowMs)).toBeGreaterThan(50_000);
			cut(false);
			network.run(20_000);
			expect(network.nodes[0]!.membership.hostsOf('aru').map(member => member.id).toSorted()).toEqual(['aru-0', 'aru-2']);
		});

		it('merges the two sides of a region that was partitioned for longer than tombstones are kept', () => {
			const network = new SimulatedNetwork({regions: {dsm: 6}, seed: 8});
			network.run(10_000);
			const cut = (isCut: boolean) => {
				for (const a of [0, 1, 2]) {
					for (const b of [3, 4, 5]) {
						network.setLinkCut(a, b, isCut);
					}
				}
			};

			cut(true);
			network.run(120_000);
			expect(network.aliveAt(0)).toHaveLength(3);
			cut(false);
			network.run(60_000);
			expect(network.aliveAt(0)).toHaveLength(6);
			expect(network.aliveAt(5)).toHaveLength(6);
		});
	});

	describe('datagram loss', () => {
		it('declares no running host dead at 30% datagram loss', () => {
			for (let seed = 10; seed < 15; seed++) {
				const network = new SimulatedNetwork({regions: {dsm: 12}, seed});
				network.run(15_000);
				network.setLoss(0.3);
				for (let step = 0; step < 60; step++) {
					network.run(1000);
					for (const node of network.nodes) {
						expect(node.membership.updates().filter(update => update.status === 'dead')).toEqual([]);
					}
				}
			}
		});
	});

	describe('store versions', () => {
		const version = {era: 2, revision: 5};
		type Effect = Parameters<NonNullable<ConstructorParameters<typeof SimulatedNetwork>[0]['onEffect']>>[1];

		/** Returns a settled region and what its members report about the store from now on. */
		function regionWithReports(hosts: number, settleMs = 10_000): {readonly network: SimulatedNetwork; readonly reports: Map<number, Effect[]>} {
			const reports = new Map<number, Effect[]>();
			const network = new SimulatedNetwork({
				regions: {dsm: hosts}, seed: 11, onEffect(index, effect) {
					reports.set(index, [...(reports.get(index) ?? []), effect]);
				},
			});
			network.run(settleMs);
			reports.clear();
			return {network, reports};
		}

		it('are reported with their era, and without a contact to the store that there was not', () => {
			const {network, reports} = regionWithReports(4);
			network.act(0, membership => membership.setVersion(version, true));
			network.run(100);
			for (const index of [1, 2, 3]) {
				expect(reports.get(index)).toContainEqual({kind: 'revision', version, address: 'dsm:0'});
				expect(reports.get(index)!.some(effect => effect.kind === 'store_contact')).toBe(false);
			}
		});

		it('of a watcher in contact reach all members of a large region with their era, also by members that have no era yet', () => {
			const {network, reports} = regionWithReports(30);
			network.act(0, membership => membership.setVersion(version));
			network.act(0, membership => membership.reportStoreContact());
			network.run(100);
			const informed = [...reports].filter(([, effects]) => effects.some(effect => effect.kind === 'store_contact' && effect.version.era === 2 && effect.version.revision === 5));
			expect(informed).toHaveLength(29);
		});

		// Guards against hosts that take old changes, which were long on their way to the watcher, for the latest.
		it('that a watcher spreads confirm nothing', () => {
			const {network, reports} = regionWithReports(4);
			network.act(0, membership => membership.spreadChanges(version, [new Uint8Array(10)]));
			network.run(100);
			const contacts = [...reports.values()].flat().filter(effect => effect.kind === 'store_contact');
			expect(contacts.map(contact => contact.version)).toEqual(Array.from({length: 3}, () => ({...version, revision: 0})));
		});

		it.each([
			{hosts: 5, bytes: 1000}, {hosts: 30, bytes: 1000}, {hosts: 100, bytes: 500}, {hosts: 100, bytes: 1000},
		])('that a watcher spreads with $bytes bytes of changes reach all other members of a region of $hosts, and hold up its link for a tenth of a second at most', ({hosts, bytes}) => {
			const {network, reports} = regionWithReports(hosts, 30_000);
			const parts = [new Uint8Array(bytes).fill(1), new Uint8Array(bytes).fill(2)];
			const datagramsBefore = network.datagrams;
			network.act(0, membership => membership.spreadChanges(version, parts));
			expect((network.datagrams - datagramsBefore) * bytes).toBeLessThanOrEqual(125_000);
			network.run(100);
			const received = [...reports].filter(([, effects]) => parts.every((data, index) => effects.some(effect => effect.kind === 'changes_part'
				&& effect.origin.startsWith('dsm-0/') && effect.address === 'dsm:0' && effect.version.revision === 5 && effect.index === index && effect.count === 2 && effect.data[0] === data[0])));
			expect(received).toHaveLength(hosts - 1);
		});

		it('of an older era are not reported to a member of a later one, but those without an era are', () => {
			const {network, reports} = regionWithReports(3);
			network.act(0, membership => membership.setVersion(version));
			network.run(3000);
			reports.clear();
			network.act(1, membership => membership.setVersion({era: 1, revision: 90}));
			network.act(2, membership => membership.setVersion({era: 0, revision: 95}));
			network.run(3000);
			const versions = reports.get(0)!.flatMap(effect => (effect.kind === 'revision' ? [effect.version] : []));
			expect(versions).toContainEqual({era: 0, revision: 95});
			expect(versions).not.toContainEqual({era: 1, revision: 90});
		});
	});

	describe('planned stops', () => {
		it('removes a leaving host from the candidates and keeps it alive', () => {
			const network = new SimulatedNetwork({regions: {dsm: 4}, seed: 20});
			network.run(10_000);
			network.leave(3);
			network.run(5000);
			for (const index of [0, 1, 2]) {
				expect(network.aliveAt(index)).toHaveLength(4);
				expect(network.nodes[index]!.membership.candidates().map(member => member.id)).toEqual(['dsm-0', 'dsm-1', 'dsm-2']);
			}
		});
	});

	describe('busy levels', () => {
		it('reach all members, also at datagram loss, and end with the process', () => {
			const network = new SimulatedNetwork({regions: {dsm: 12}, seed: 21, loss: 0.2});
			network.run(15_000);
			const key = () => `dsm-3/${network.nodes[3]!.membership.self.boot}`;
			const levels = () => new Set(network.nodes.map(node => node.membership.busyLevelOf(key())));
			network.act(3, membership => membership.setBusyLevel(2));
			network.run(10_000);
			expect(levels()).toEqual(new Set([2]));
			network.act(3, membership => membership.setBusyLevel(0));
			network.run(10_000);
			expect(levels()).toEqual(new Set([0]));
			network.act(3, membership => membership.setBusyLevel(3));
			network.run(10_000);
			network.kill(3);
			network.restart(3);
			network.run(detectionMs);
			expect(levels()).toEqual(new Set([0]));
		});

		it('stay when a member leaves or refutes a suspicion, and send nothing if they are as before', () => {
			const network = new SimulatedNetwork({regions: {dsm: 4}, seed: 22});
			network.run(10_000);
			const {membership} = network.nodes[1]!;
			network.act(1, () => membership.setBusyLevel(1));
			expect(membership.setBusyLevel(1)).toEqual([]);
			network.leave(1);
			network.act(0, other => other.recordRefusedConnection(`dsm-1/${membership.self.boot}`, network.nowMs));
			network.run(5000);
			for (const node of network.nodes) {
				expect(node.membership.busyLevelOf(`dsm-1/${membership.self.boot}`)).toBe(1);
			}
		});
	});

	describe('random faults', () => {
		const Step = fc.record({
			kind: fc.constantFrom('kill', 'restart', 'freeze', 'wake', 'cut', 'join', 'run'),
			a: fc.nat(6),
			b: fc.nat(6),
			ms: fc.integer({min: 100, max: 8000}),
		});

		it('converges on the running hosts after any sequence of faults', () => {
			fc.assert(fc.property(fc.array(Step, {maxLength: 25}), fc.nat(1_000_000), (steps, seed) => {
				const network = new SimulatedNetwork({regions: {dsm: 7}, seed});
				network.run(10_000);
				for (const step of steps) {
					const node = network.nodes[step.a]!;
					switch (step.kind) {
						case 'kill': {
							network.kill(step.a);
							break;
						}

						case 'restart': {
							if (node.isDown) {
								network.restart(step.a);
							}

							break;
						}

						case 'freeze': {
							network.freeze(step.a);
							break;
						}

						case 'wake': {
							network.unfreeze(step.a);
							break;
						}

						case 'cut':
						case 'join': {
							if (step.a !== step.b) {
								network.setLinkCut(step.a, step.b, step.kind === 'cut');
							}

							break;
						}

						case 'run': {
							break;
						}
					}

					network.run(step.ms);
				}

				for (const [index, item] of network.nodes.entries()) {
					network.unfreeze(index);
					if (item.isDown) {
						network.restart(index);
					}

					for (let other = 0; other < index; other++) {
						network.setLinkCut(index, other, false);
					}
				}

				network.run(90_000);
				expect(allAgreeOn(network, [0, 1, 2, 3, 4, 5, 6].map(index => `dsm-${index}`))).toBe(true);
				for (const item of network.nodes) {
					expect(item.membership.isConfident(network.nowMs)).toBe(true);
				}
			}), {numRuns: 40, seed: 42});
		});
	});

	describe('size', () => {
		it('sends a number of datagrams per host that does not grow with the region, up to 500 hosts', () => {
			const rates = [20, 500].map(size => {
				const network = new SimulatedNetwork({regions: {dsm: size}, seed: 30});
				network.run(40_000);
				expect(network.aliveAt(0)).toHaveLength(size);
				const before = network.datagrams;
				network.run(10_000);
				return (network.datagrams - before) / size / 10;
			});
			expect(rates[1]).toBeLessThan((rates[0] ?? 0) * 1.5);
		});
	});
});

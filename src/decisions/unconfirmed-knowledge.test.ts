import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {LargeChangesModel} from '../../test/large-changes-model.js';

/** Time from the store's acknowledgement of a change after which a host must not act by what was in force before. */
const applyMs = 4000;
/** Time without confirmation from which a host relies on nothing that the store may have changed. */
const maxUnconfirmedMs = 2400;
const settleMs = 10_000;
const narrowMbps = 10;
const wideMbps = 140;
/** 1.4 to 8 s over a narrow link that carries nothing else. */
const largeBytes = [1_750_000, 3_500_000, 10_000_000] as const;

const linksOf = (count: number) => Array.from({length: count}, (_, index) => (index % 12 === 0 ? wideMbps : narrowMbps));

type LateHost = ReturnType<LargeChangesModel['late']>[number];

/** Advances a model; returns the hosts that lacked a change for too long, and of these the ones that relied on what they knew. */
function watch(model: LargeChangesModel, durationMs: number): {late: LateHost[]; unaware: LateHost[]} {
	const late: LateHost[] = [];
	model.run(durationMs, () => {
		late.push(...model.late(applyMs));
	});
	return {late, unaware: late.filter(({unconfirmedMs}) => unconfirmedMs <= maxUnconfirmedMs)};
}

describe('RevisionTracker with the age of what it knows', () => {
	// Guards against requests that run outside their home regions at hosts which large configurations reach late (HOME, CONFIG).
	it.each(largeBytes)('does not count as confirmed in any of 48 hosts that lack a configuration of %i bytes', bytes => {
		const model = new LargeChangesModel({linksMbps: linksOf(48), largeBytes: bytes, seed: 1});
		model.run(settleMs * 4);
		expect(model.late(0)).toEqual([]);
		const results = [3000, 9000, 20_000].map(durationMs => {
			model.write({isLarge: true});
			return watch(model, durationMs);
		});
		expect(results.flatMap(({unaware}) => unaware).slice(0, 1)).toEqual([]);
		// Shows that the check above had something to check.
		expect(results.flatMap(({late}) => late).length).toBeGreaterThan(0);
	});

	// Guards against the same at hosts whose links are cut or which start meanwhile.
	it('does not count as confirmed in any host that lacks a change, whichever hosts are cut off, isolated or started, and whatever is lost', () => {
		const step = fc.record({
			kind: fc.constantFrom('large', 'large', 'small', 'cut', 'cut', 'mend', 'isolate', 'join', 'restart'), host: fc.nat(11), durationMs: fc.integer({min: 50, max: 7000}),
		});
		let lateCount = 0;
		fc.assert(fc.property(fc.record({
			seed: fc.nat(10_000),
			hosts: fc.integer({min: 1, max: 12}),
			bytes: fc.constantFrom(20_000, ...largeBytes),
			loss: fc.constantFrom(0, 0.05, 0.2),
			steps: fc.array(step, {minLength: 4, maxLength: 12}),
		}), ({seed, hosts, bytes, loss, steps}) => {
			const model = new LargeChangesModel({
				linksMbps: linksOf(hosts), largeBytes: bytes, seed, loss,
			});
			model.run(settleMs);
			for (const {kind, host: number, durationMs} of steps) {
				apply(model, kind, number % hosts);
				const {late, unaware} = watch(model, durationMs);
				lateCount += late.length;
				expect(unaware.slice(0, 1)).toEqual([]);
			}
		}), {numRuns: 60, seed: 49});
		expect(lateCount).toBeGreaterThan(0);
	});

	function apply(model: LargeChangesModel, kind: string, index: number): void {
		switch (kind) {
			case 'cut':
			case 'mend': {
				model.hosts[index]!.isCut = kind === 'cut';
				break;
			}

			case 'isolate':
			case 'join': {
				model.setIsolated(index, kind === 'isolate');
				break;
			}

			case 'restart': {
				model.restart(index);
				break;
			}

			default: {
				model.write({isLarge: kind === 'large'});
			}
		}
	}

	// Guards against requests with homes that are refused without need, by hosts that have each change soon.
	it.each([
		{hosts: 1, loss: 0}, {hosts: 8, loss: 0.05}, {hosts: 48, loss: 0.05},
	])('stays confirmed in all of $hosts hosts with ten changes a second or none, and with $loss of the datagrams lost', ({hosts, loss}) => {
		const model = new LargeChangesModel({
			linksMbps: linksOf(hosts), largeBytes: 20_000, seed: 3, loss,
		});
		model.run(settleMs);
		let longestMs = 0;
		const step = () => {
			longestMs = Math.max(longestMs, ...model.hosts.map((_, index) => model.unconfirmedMs(index)));
		};

		for (let changes = 0; changes < 200; changes++) {
			model.write({isLarge: false});
			model.run(100, step);
		}

		model.run(10_000, step);
		expect(model.late(0)).toEqual([]);
		expect(longestMs).toBeLessThan(maxUnconfirmedMs);
	});
});

import fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {QuotaSystemModel} from './quota-system-model.js';

type Step = (model: QuotaSystemModel) => void;

const host = fc.nat({max: 4});
const quotas = [{ratePerSecond: 560, burst: 0}, {ratePerSecond: 560, burst: 560}, {ratePerSecond: 5, burst: 0}, {ratePerSecond: 40, burst: 100}] as const;
const quota = fc.constantFrom(...quotas);
/** Delays of messages: as usual, and far beyond the life of a loan. */
const delayMs = fc.oneof(fc.integer({min: 0, max: 120}), fc.integer({min: 0, max: 5000}));
/** Time from a token to the run of its request that the bound allows for: a tenth of the overage, 50 ms. */
const runMs = fc.integer({min: 0, max: 50});
const kindOfFate = fc.constantFrom('ok', 'ok', 'ok', 'request_lost', 'response_lost', 'request_repeated', 'response_repeated');
const fate = fc.record({thereMs: delayMs, backMs: delayMs, fate: kindOfFate});

const everything = {tokens: 10_000, ratePerSecond: 10_000, hasShare: false};
const usual = {thereMs: 1, backMs: 1, fate: 'ok'} as const;

const steps: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6, arbitrary: fc.oneof(fc.integer({min: 1, max: 400}), fc.integer({min: 500, max: 6000})).map(ms => (model: QuotaSystemModel) => {
			model.advance(ms);
		}),
	},
	{
		weight: 1, arbitrary: fc.integer({min: 20_000, max: 700_000}).map(ms => (model: QuotaSystemModel) => {
			model.advance(ms);
		}),
	},
	{
		weight: 8, arbitrary: fc.tuple(host, fc.integer({min: 1, max: 2000}), runMs).map(([of, count, ms]) => (model: QuotaSystemModel) => {
			model.request(of, count, ms, true);
		}),
	},
	{
		weight: 2, arbitrary: fc.tuple(host, fc.integer({min: 1, max: 300})).map(([of, count]) => (model: QuotaSystemModel) => {
			model.request(of, count, 0, false);
		}),
	},
	{
		weight: 2, arbitrary: fc.constant((model: QuotaSystemModel) => {
			model.giveBack();
		}),
	},
	{
		weight: 8, arbitrary: fc.tuple(host, host, fc.record({tokens: fc.constantFrom(0, 0.5, 5, 1000), ratePerSecond: fc.integer({min: 0, max: 1000}), hasShare: fc.boolean()}), fate).map(([from, to, ask, how]) => (model: QuotaSystemModel) => {
			model.borrow(from, to, ask, how);
		}),
	},
	{
		weight: 1, arbitrary: host.map(of => (model: QuotaSystemModel) => {
			model.restart(of);
		}),
	},
	{
		weight: 1, arbitrary: fc.tuple(host, quota).map(([of, known]) => (model: QuotaSystemModel) => {
			model.learn(of, known);
		}),
	},
	{
		weight: 1, arbitrary: fc.tuple(host, fc.boolean()).map(([of, isCutOff]) => (model: QuotaSystemModel) => {
			model.setCutOff(of, isCutOff);
		}),
	},
	{
		weight: 3, arbitrary: host.map(of => (model: QuotaSystemModel) => {
			model.refreshView(of);
		}),
	},
	{
		weight: 2, arbitrary: fc.tuple(host, fc.boolean()).map(([of, isLost]) => (model: QuotaSystemModel) => {
			model.renewLease(of, isLost);
		}),
	},
	{
		weight: 3, arbitrary: fc.tuple(host, fc.boolean()).map(([of, isLost]) => (model: QuotaSystemModel) => {
			model.planSlots(of, isLost);
		}),
	},
	{
		weight: 1, arbitrary: host.map(of => (model: QuotaSystemModel) => {
			model.drain(of);
		}),
	},
	{
		weight: 2, arbitrary: fc.tuple(host, fc.boolean()).map(([of, isListed]) => (model: QuotaSystemModel) => {
			model.setListed(of, isListed);
		}),
	},
	{
		weight: 3, arbitrary: fc.integer({min: 1, max: 8}).map(seconds => (model: QuotaSystemModel) => {
			model.settle(seconds);
		}),
	},
	{
		weight: 2, arbitrary: fc.integer({min: 100, max: 3000}).map(ms => (model: QuotaSystemModel) => {
			model.useAll(ms);
		}),
	},
	{
		weight: 6, arbitrary: fc.tuple(host, fate).map(([from, how]) => (model: QuotaSystemModel) => {
			model.callPeers(from, how);
		}),
	},
	{
		weight: 3, arbitrary: fc.tuple(host, host).map(([from, to]) => (model: QuotaSystemModel) => {
			model.borrow(from, to, everything, usual);
		}),
	},
);

/** Returns a system whose hosts have claimed all slots, and have filled their buckets. Only `listed` of its hosts take slots. */
function startedSystem(hosts: number, known: typeof quotas[number], listed = hosts): QuotaSystemModel {
	const model = new QuotaSystemModel(hosts);
	for (let of = 0; of < hosts; of++) {
		model.learn(of, known);
		model.setListed(of, of < listed);
	}

	model.settle(2 + (2 * hosts));
	model.advance(5000);
	return model;
}

describe('sum of an account\'s requests over all hosts', () => {
	it('never exceeds the bound under loss, repetition, delay, restart, partition, changes of the limit, and hosts that come and go', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 5}), quota, fc.array(steps, {maxLength: 80}), (hosts, known, script) => {
			const model = startedSystem(hosts, known);
			for (const step of script) {
				step(model);
			}

			model.useAll(12_000);
			expect(model.violation()).toBeUndefined();
		}), {numRuns: 500});
	});

	it('is the whole limit when nothing fails, so that the bound is not kept by serving nothing', () => {
		for (const known of quotas) {
			const model = startedSystem(4, known);
			model.useAll(12_000);
			const from = model.runs[0]!;
			const last = model.runs.filter(timeMs => timeMs > from + 6000).length / 6;
			expect(last).toBeGreaterThan(0.95 * known.ratePerSecond);
		}
	});

	describe('stays below the bound, which a mistake in one of the assumptions would break, when', () => {
		const [withoutBurst, withBurst] = quotas;
		/** Host 0 has all slots, and others have none yet. */
		let model: QuotaSystemModel;

		beforeEach(() => {
			model = startedSystem(3, withoutBurst, 1);
		});

		afterEach(() => {
			expect(model.violation()).toBeUndefined();
		});

		it('tokens that were lent over seconds arrive at the same time', () => {
			for (let round = 0; round < 20; round++) {
				model.borrow(1, 0, everything, {thereMs: 0, backMs: 5000 - (round * 240), fate: 'ok'});
				model.advance(240);
			}

			model.useAll(6000);
		});

		it('a rate is renewed again and again', () => {
			model.borrow(1, 0, everything, usual);
			for (let round = 0; round < 8; round++) {
				model.useAll(1000);
				model.borrow(1, 0, {...everything, tokens: 0, ratePerSecond: 0}, usual);
			}
		});

		it('a host is killed after it lent its whole rate, and claims its slots again', () => {
			model.borrow(1, 0, everything, usual);
			model.advance(2);
			model.restart(0);
			for (let round = 0; round < 70; round++) {
				model.settle(0.1);
				model.useAll(50);
			}
		});

		it('a host gives its slots away after it lent its whole rate', () => {
			model.setListed(0, false);
			model.setListed(2, true);
			model.settle(2);
			model.borrow(1, 0, everything, usual);
			model.advance(2);
			model.drain(0);
			for (let round = 0; round < 70; round++) {
				model.planSlots(0, false);
				model.settle(0.1);
				model.useAll(50);
			}
		});

		it('several borrowers give tokens back and borrow them again, while the lender mints', () => {
			model = startedSystem(5, withoutBurst, 1);
			const tokens = {...everything, ratePerSecond: 0};
			for (let round = 0; round < 30; round++) {
				for (const borrower of [1, 2, 3, 4]) {
					model.request(borrower, 1, 0, true);
				}

				model.advance(90);
				for (const borrower of [4, 3, 2, 1]) {
					model.callPeers(borrower, usual);
					model.advance(3);
					model.borrow(borrower, 0, tokens, usual);
					model.advance(3);
				}
			}

			model.useAll(6000);
		});

		it('a borrower gives back what it did not use, twice, and asks for more', () => {
			for (let round = 0; round < 80; round++) {
				model.borrow(1, 0, {...everything, ratePerSecond: 0}, usual);
				model.advance(3);
				model.request(1, 60, 0, true);
				model.advance(60);
				model.callPeers(1, {...usual, fate: 'request_repeated'});
				model.advance(5);
				model.request(1, 2000, 0, true);
			}
		});

		it('requests that do not run give their tokens back late', () => {
			for (let round = 0; round < 20; round++) {
				model.request(0, 2000, 0, false);
				model.advance(240);
			}

			model.giveBack();
			model.useAll(6000);
		});

		it('the limit changes to and fro', () => {
			for (let round = 0; round < 30; round++) {
				model.learn(0, round % 2 === 0 ? withBurst : withoutBurst);
				model.useAll(100);
			}
		});

		it('a host is cut off from the store for longer than its lease, and serves on', () => {
			model.setCutOff(0, true);
			model.advance(650_000);
			model.setListed(2, true);
			model.settle(5);
			model.useAll(6000);
		});

		it('a host that knows no entries claims slots that have a host', () => {
			model.setListed(2, true);
			model.planSlots(2, false);
			model.advance(2000);
			model.planSlots(2, false);
			model.useAll(6000);
		});
	});
});

import {describe, expect, it} from 'vitest';
import {RevisionTracker} from './revision-tracker.js';
import {SeededRandom} from './seeded-random.js';

describe('RevisionTracker', () => {
	// Guards against a watcher that waits on a lost connection while the store answers its probes, so that its region takes what it has for the latest.
	describe('with a watch that may be lost', () => {
		const watcher = () => {
			const tracker = new RevisionTracker(new SeededRandom(1), 0);
			tracker.adopt({era: 0, revision: 1});
			tracker.tick(0, 0);
			tracker.recordWatchStart(10);
			tracker.tick(500, 0);
			expect(tracker.recordProbeAnswer(0, 510)).toEqual([{kind: 'report_contact'}]);
			tracker.tick(1000, 0);
			tracker.recordProbeFailure();
			tracker.tick(1500, 0);
			return tracker;
		};

		it('begins the watch again once the store answers, and reports contact after the next probe', () => {
			const tracker = watcher();
			expect(tracker.recordProbeAnswer(0, 1510)).toEqual([{kind: 'read_store'}]);
			expect(tracker.unconfirmedMs(1510)).toBe(1000);
			tracker.recordWatchStart(1520);
			tracker.tick(2000, 0);
			expect(tracker.recordProbeAnswer(0, 2010)).toEqual([{kind: 'report_contact'}]);
			expect(tracker.unconfirmedMs(2010)).toBe(0);
		});

		it.each([
			{name: 'sent before the call that waits', sentMs: 1000, answeredMs: 1600},
			{name: 'read long after it was sent', sentMs: 1500, answeredMs: 6500},
		])('takes no probe for a confirmation that was $name', ({sentMs, answeredMs}) => {
			const tracker = new RevisionTracker(new SeededRandom(1), 0);
			tracker.adopt({era: 0, revision: 1});
			tracker.tick(0, 0);
			tracker.recordWatchStart(1100);
			tracker.tick(1500, 0);
			expect(tracker.recordProbeAnswer(0, answeredMs, sentMs)).toEqual([{kind: 'report_answer'}]);
			expect(tracker.unconfirmedMs(answeredMs)).toBe(Number.POSITIVE_INFINITY);
		});

		it('keeps a watch that was answered after the failure', () => {
			const tracker = watcher();
			tracker.recordRead(true);
			tracker.recordWatchStart(1200);
			expect(tracker.recordProbeAnswer(0, 1510)).toEqual([{kind: 'report_contact'}]);
		});
	});
});

import {
	afterEach, describe, expect, it,
} from 'vitest';
import {LargeChangesModel} from './large-changes-model.js';
import {largeConfiguration} from './large-configuration.js';
import {ReplicaPair} from './replica-pair.js';

/** Time within which hosts in touch must have a change. */
const applyMs = 4000;
/** Part of it for the processor time of weak hosts, which the model leaves out. */
const marginMs = 800;
const settleMs = 20_000;

describe('Change of a large configuration', () => {
	let pair: ReplicaPair;

	afterEach(async () => {
		await pair.close();
	});

	// Guards against hosts that serve requests by an old configuration, since the large new one takes seconds on narrow links (HOME).
	it('reaches the last of 48 hosts in time if all of them have 10 Mbit/s', async () => {
		pair = new ReplicaPair();
		const value = largeConfiguration(3400, 1);
		pair.publish([{key: 'config', value, revision: 2}], 2);
		await expect.poll(() => pair.receiver.items.revision).toBe(2);
		const largeBytes = Math.ceil(value.length / 3) * 4;
		for (let seed = 1; seed <= 10; seed++) {
			const model = new LargeChangesModel({
				linksMbps: Array.from({length: 48}, () => 10), largeBytes, pulledBytes: pair.sentBytes[0]!, seed,
			});
			model.run(settleMs);
			expect(model.late(0)).toEqual([]);
			model.write({isLarge: true});
			model.run(applyMs - marginMs);
			expect(model.late(0)).toEqual([]);
		}
	});
});

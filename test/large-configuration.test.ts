import {
	afterEach, describe, expect, it,
} from 'vitest';
import {ConfigurationSpreadModel} from './configuration-spread-model.js';
import {largeConfiguration} from './large-configuration.js';
import {ReplicaPair} from './replica-pair.js';

/** Time within which hosts in touch must have a change. */
const applyMs = 4000;
/** Part of it for the processor time of weak hosts, which the model leaves out. */
const marginMs = 800;

describe('Change of a large configuration', () => {
	let pair: ReplicaPair;

	afterEach(async () => {
		await pair.close();
	});

	// Guards against hosts that serve requests by an old configuration, since the large new one takes seconds on narrow links (HOME).
	it('reaches the last of 48 hosts in time if nearly all of them, and the watchers, have 10 Mbit/s', async () => {
		pair = new ReplicaPair();
		const value = largeConfiguration(3400, 1);
		pair.publish([{key: 'config', value, revision: 2}], 2);
		await expect.poll(() => pair.receiver.items.revision).toBe(2);
		const sizes = {storeBytes: Math.ceil(value.length / 3) * 4, pullBytes: pair.sentBytes[0]!, countedBytes: pair.admittedBytes[0]!};
		const timesMs = Array.from({length: 10}, (_, seed) => new ConfigurationSpreadModel(seed + 1, sizes).timeToLastHost());
		expect(Math.max(...timesMs)).toBeLessThanOrEqual(applyMs - marginMs);
	});
});

import {randomBytes} from 'node:crypto';
import {deflateRawSync} from 'node:zlib';
import {encode} from '@msgpack/msgpack';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type ItemChanges} from '../contracts/item-changes.js';
import {splitIntoParts} from '../decisions/split-into-parts.js';
import {itemChangesWire} from './item-changes-wire.js';

const entryOf = (index: number) => ({
	key: `instances/i-${index}`, value: `{"address":"10.9.64.${index}:8660","info":{"service":"accuse","zone":"sousse-c","slots":9},"status":{"state":"draining","sequence":${index}}}`, revision: index,
});
const changes: ItemChanges = {
	sinceRevision: 3, revision: 60, items: Array.from({length: 50}, (_, index) => entryOf(index + 4)), removals: [['instances/i-1', 55, 120]], gaps: [[3, 20]],
};

describe('itemChangesWire', () => {
	it('decodes encoded changes to the same changes', () => {
		expect(itemChangesWire.decode(itemChangesWire.encode(changes)!)).toEqual(changes);
	});

	// Guards against departures at once that are too large to be spread, so that all hosts would pull them.
	it('takes at most two datagrams for the departures of fifty instances', () => {
		expect(splitIntoParts(itemChangesWire.encode(changes)!)!.length).toBeLessThanOrEqual(2);
	});

	it('leaves out changes that would take many datagrams or long to compress', () => {
		const withValue = (value: string) => ({...changes, items: [{key: 'routes', value, revision: 60}]});
		expect(itemChangesWire.encode(withValue('x'.repeat(200_000)))).toBeUndefined();
		expect(splitIntoParts(itemChangesWire.encode(withValue(randomBytes(40_000).toString('base64')))!)).toBeUndefined();
	});

	it('ignores malformed data, whatever its size when expanded', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 300}), data => {
			expect(itemChangesWire.decode(data)).toBeUndefined();
		}), {seed: 46});
		expect(itemChangesWire.decode(deflateRawSync(encode([1, 2, 'x', [], []])))).toBeUndefined();
		expect(itemChangesWire.decode(deflateRawSync(new Uint8Array(20_000_000)))).toBeUndefined();
	});
});

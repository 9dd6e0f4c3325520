import {Buffer} from 'node:buffer';
import process from 'node:process';
import {Readable} from 'node:stream';
import {buffer} from 'node:stream/consumers';
import {createDeflate, deflateSync} from 'node:zlib';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {largeConfiguration} from '../../test/large-configuration.js';
import {ReplicaPair} from '../../test/replica-pair.js';
import {type StoreItem} from '../contracts/store-item.js';

const configuration = (revision: number): StoreItem => ({key: 'config', value: largeConfiguration(1421, revision), revision});
const request = {haveRevision: 0, haveEra: 1, acceptsGaps: true};
const deflated = (value: unknown) => deflateSync(JSON.stringify(value)).toString('base64');

describe('Pull of a large configuration', () => {
	let pair: ReplicaPair;

	beforeEach(() => {
		pair = new ReplicaPair();
	});

	afterEach(async () => {
		await pair.close();
	});

	// Guards against a change that fills narrow links for seconds on its way through a region.
	it('sends under a tenth of its size, and counts that against the limit of transfers', async () => {
		const item = configuration(3);
		pair.publish([item], 3);
		await expect.poll(() => pair.receiver.items.get('config')?.value === item.value).toBe(true);
		expect(pair.receiver.items.version).toEqual({era: 1, revision: 3});
		expect(pair.sentBytes[0]).toBeLessThan(item.value.length / 10);
		expect(pair.admittedBytes[0]).toBeLessThanOrEqual(pair.sentBytes[0]!);
		expect(pair.admittedBytes[0]).toBeGreaterThan(0.9 * pair.sentBytes[0]!);
	});

	it('brings each later version, and a removal beside it', async () => {
		const [first, second] = [configuration(3), configuration(6)];
		pair.publish([first, {key: 'other', value: 'é', revision: 2}], 3);
		await expect.poll(() => pair.receiver.items.revision).toBe(3);
		expect(pair.receiver.items.get('other')?.value).toBe('é');
		pair.publish([second], 7);
		await expect.poll(() => pair.receiver.items.revision).toBe(7);
		expect(pair.receiver.items.get('config')?.value === second.value).toBe(true);
		expect(pair.receiver.items.get('other')).toBeUndefined();
	});

	it('leaves small changes readable for all', async () => {
		pair.publish([{key: 'a', value: 'v', revision: 2}], 3);
		expect(await pair.request({...request, acceptsDeflated: true})).toMatchObject({items: [{key: 'a'}]});
	});

	describe('between releases', () => {
		it('sends a peer that does not state that it accepts compressed items what it can read', async () => {
			const item = configuration(3);
			pair.publish([item], 3);
			await expect.poll(() => pair.receiver.items.revision).toBe(3);
			const response = await pair.request(request);
			expect(response.deflatedItems).toBeUndefined();
			expect(response.items).toEqual([item]);
			expect(pair.admittedBytes.at(-1)).toBeGreaterThan(400_000);
		});

		it('takes over the response of a peer that ignores the request for compressed items', async () => {
			const item = configuration(3);
			pair.conveyRequests(({acceptsDeflated, ...known}) => known);
			pair.publish([item], 3);
			await expect.poll(() => pair.receiver.items.get('config')?.value === item.value).toBe(true);
		});
	});

	describe('with a malformed response', () => {
		const whole = {
			era: 1, revision: 9, isWhole: true, sinceRevision: 0, items: [], removals: [], gaps: [[0, 9]],
		};
		const valid = deflated([{key: 'b', value: 'w', revision: 8}]);

		beforeEach(async () => {
			pair.publish([{key: 'a', value: 'v', revision: 2}], 3);
			await expect.poll(() => pair.receiver.items.revision).toBe(3);
		});

		// Guards against a replica that drops its items because a response says that there are none.
		it.each([
			{name: 'no base64', deflatedItems: '***', reason: 'cannot be inflated'},
			{name: 'an empty text', deflatedItems: '', reason: 'cannot be inflated'},
			{name: 'another format', deflatedItems: Buffer.from('plain text').toString('base64'), reason: 'cannot be inflated'},
			{name: 'a truncated encoding', deflatedItems: valid.slice(0, 24), reason: 'cannot be inflated'},
			{name: 'text that is not JSON', deflatedItems: deflateSync('{"key').toString('base64'), reason: 'not valid JSON'},
			{name: 'no list', deflatedItems: deflated({key: 'b'}), reason: 'expected array'},
			{name: 'one malformed item beside a valid one', deflatedItems: deflated([{key: 'b', value: 'w', revision: 8}, {key: 'c'}]), reason: 'expected string'},
			{name: 'another type', deflatedItems: 7, reason: 'expected string'},
		])('keeps its items and logs the reason: $name', async ({deflatedItems, reason}) => {
			pair.conveyResponses(() => ({...whole, deflatedItems}));
			pair.publish([{key: 'b', value: 'w', revision: 8}], 9);
			await expect.poll(() => pair.logged.join('\n')).toContain(reason);
			expect(pair.logged.join('\n')).toContain('pulling items from a peer failed');
			expect(pair.receiver.items.version).toEqual({era: 1, revision: 3});
			expect(pair.receiver.items.get('a')?.value).toBe('v');
			expect(pair.receiver.items.get('b')).toBeUndefined();
		});

		// Guards against a small response that inflates to more than the host's memory.
		it('inflates no more than 4 MiB', async () => {
			const spaces = Buffer.alloc(1_048_576, ' ');
			const bomb = await buffer(Readable.from(Array.from({length: 256}, () => spaces)).pipe(createDeflate()));
			const beforeBytes = process.memoryUsage().rss;
			let peakBytes = 0;
			pair.conveyResponses(() => ({...whole, deflatedItems: bomb.toString('base64')}));
			pair.publish([{key: 'b', value: 'w', revision: 8}], 9);
			await expect.poll(() => {
				peakBytes = Math.max(peakBytes, process.memoryUsage().rss);
				return pair.logged.join('\n');
			}).toContain('cannot be inflated');
			expect(peakBytes - beforeBytes).toBeLessThan(67_108_864);
			expect(pair.receiver.items.revision).toBe(3);
		});
	});
});

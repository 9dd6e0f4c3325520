import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {ConsulStoreStandIn} from '../../stand-ins/consul-store-stand-in.js';
import {nextLoopbackAddress} from '../../test/next-loopback-address.js';
import {RawServer} from '../../test/raw-server.js';
import {KvStore} from '../../platform/kv-store.js';
import {KvStoreStandIn} from '../../stand-ins/kv-store-stand-in.js';
import {ConsulStore} from '../adapters/consul-store.js';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {type Store} from './store.js';

type Client = Store & {readonly close: () => void};
type StandIn = {
	readonly listen: (host: string, port: number) => Promise<number>;
	readonly close: () => Promise<void>;
	readonly setFaults: (faults: {readonly isOut?: boolean; readonly lostAnswers?: number}) => void;
	readonly calls: {readonly watches: number};
};

const timeoutMs = 300;
const onCall = () => undefined;

function kvStandIn(callsPerSecond: number): StandIn {
	const inner = new KvStoreStandIn(callsPerSecond);
	return {
		listen: async (host, port) => inner.listen(host, port),
		close: async () => inner.close(),
		setFaults({isOut = false, lostAnswers = 0}) {
			inner.setFaults({mode: isOut ? 'silent' : 'none', isLosingResponses: lostAnswers > 0});
		},
		get calls() {
			return {watches: inner.watches};
		},
	};
}

const implementations = [
	{
		name: 'Consul',
		client: (address: string): Client => new ConsulStore({
			address, prefix: 'test/', timeoutMs, clock: monotonicClock, onCall,
		}),
		standIn: (rate: number): StandIn => new ConsulStoreStandIn({readsPerSecond: rate, writesPerSecond: rate}),
	},
	{
		name: 'the platform\'s',
		client: (address: string): Client => new KvStore({
			address, timeoutMs, clock: monotonicClock, onCall,
		}),
		standIn: kvStandIn,
	},
];

describe.each(implementations)('store contract: $name', ({client, standIn: createStandIn}) => {
	let standIn: StandIn;
	let store: Client;

	beforeEach(async () => {
		standIn = createStandIn(50);
		const host = nextLoopbackAddress();
		await standIn.listen(host, 7000);
		store = client(`${host}:7000`);
	});

	afterEach(async () => {
		store.close();
		await standIn.close();
	});

	describe('reads and writes', () => {
		it('returns nothing for a missing key', async () => {
			expect(await store.get('a')).toEqual({success: true, data: undefined});
		});

		it('creates a key only if it does not exist', async () => {
			expect(await store.put('a', 'one', 0)).toEqual({success: true, data: {isSwapped: true}});
			expect(await store.put('a', 'two', 0)).toEqual({success: true, data: {isSwapped: false}});
			expect(await store.get('a')).toMatchObject({success: true, data: {value: 'one'}});
		});

		it('overwrites only the expected version', async () => {
			await store.put('a', 'one', 0);
			const read = await store.get('a');
			const version = read.success ? read.data!.version : 0;
			expect(await store.put('a', 'two', version)).toMatchObject({data: {isSwapped: true}});
			expect(await store.put('a', 'three', version)).toMatchObject({data: {isSwapped: false}});
			expect(await store.get('a')).toMatchObject({data: {value: 'two'}});
		});

		it('preserves any text', async () => {
			const text = 'é\n"€" 漢字';
			await store.put('a', text, 0);
			expect(await store.get('a')).toMatchObject({data: {value: text}});
		});

		it('rejects a value larger than a megabyte', async () => {
			expect(await store.put('a', 'x'.repeat(1_100_000), 0)).toMatchObject({success: false, error: {code: 'invalid_answer'}});
		});
	});

	describe('watches', () => {
		it('returns when the key changes', async () => {
			await store.put('a', 'one', 0);
			const read = await store.get('a');
			const version = read.success ? read.data!.version : 0;
			const waiting = store.watch('a', version, 5000, new AbortController().signal);
			await store.put('a', 'two', version);
			expect(await waiting).toMatchObject({success: true, data: {value: 'two'}});
		});

		it('returns the unchanged value after the wait', async () => {
			await store.put('a', 'one', 0);
			const read = await store.get('a');
			const version = read.success ? read.data!.version : 0;
			expect(await store.watch('a', version, 50, new AbortController().signal)).toMatchObject({success: true, data: {value: 'one', version}});
		});

		it('makes one call for each watch', async () => {
			await store.put('a', 'one', 0);
			await store.watch('a', 2, 20, new AbortController().signal);
			expect(standIn.calls).toMatchObject({watches: 1});
		});
	});

	describe('faults', () => {
		it('returns lost_answer during an outage, after its timeout', async () => {
			standIn.setFaults({isOut: true});
			expect(await store.get('a')).toMatchObject({success: false, error: {code: 'lost_answer'}});
		});

		it('returns lost_answer for a write that took effect but whose response was lost', async () => {
			standIn.setFaults({lostAnswers: 1});
			expect(await store.put('a', 'one', 0)).toMatchObject({success: false, error: {code: 'lost_answer'}});
			standIn.setFaults({});
			expect(await store.get('a')).toMatchObject({data: {value: 'one'}});
		});

		it('returns throttled above the rate limit of the store', async () => {
			const rateLimited = createStandIn(5);
			const host = nextLoopbackAddress();
			await rateLimited.listen(host, 7000);
			const throttled = client(`${host}:7000`);
			const results = await Promise.all(Array.from({length: 20}, async () => throttled.get('a')));
			expect(results.some(result => !result.success && result.error.code === 'throttled')).toBe(true);
			throttled.close();
			await rateLimited.close();
		});

		it('recovers after an outage', async () => {
			standIn.setFaults({isOut: true});
			await store.get('a');
			standIn.setFaults({});
			expect(await store.get('a')).toEqual({success: true, data: undefined});
		});

		it('returns unavailable if nothing listens at the address', async () => {
			const absent = client(`${nextLoopbackAddress()}:7000`);
			expect(await absent.get('a')).toMatchObject({success: false, error: {code: 'unavailable'}});
			absent.close();
		});
	});

	describe('invalid responses', () => {
		const frame = (body: string, status = '200 OK') => `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

		it.each([
			{name: 'a body that is not JSON', response: frame('{'), code: 'invalid_answer'},
			{name: 'JSON of another shape', response: frame('[{"Key":"a"}]'), code: 'invalid_answer'},
			{name: 'an empty list', response: frame('[]'), code: 'invalid_answer'},
			{name: 'a server error', response: frame('x', '500 Oops'), code: 'unavailable'},
			{
				name: 'a truncated body', response: 'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n[{"Ke', code: 'lost_answer', isClosing: true,
			},
			{name: 'a response that is not HTTP', response: 'hello\r\n\r\n', code: 'lost_answer'},
			{name: 'no response', response: undefined, code: 'lost_answer'},
		])('returns $code for $name', async ({response, code, isClosing}) => {
			const host = nextLoopbackAddress();
			const server = new RawServer(() => response, isClosing ?? false);
			await server.listen(host, 7000);
			const broken = client(`${host}:7000`);
			expect(await broken.get('a')).toMatchObject({success: false, error: {code}});
			broken.close();
			await server.close();
		});
	});
});

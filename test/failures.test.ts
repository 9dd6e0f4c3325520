import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type Caller} from '../src/caller.js';
import {type Outcome} from '../src/contracts/outcome.js';
import {type Upstream} from '../src/contracts/upstream.js';
import {SmallSystem} from './small-system.js';

async function send(caller: Caller, className: 'bid' | 'read' | 'archive', body = 'x', deadlineMs = 4000): Promise<Outcome> {
	return caller.send({
		service: 'bids', className, path: '/x', body: Buffer.from(body), deadlineMs, isRepeatable: className !== 'bid',
	});
}

function countDoubleRuns(system: SmallSystem): number {
	return [...system.runsByKey().values()].filter(runs => runs > 1).length;
}

describe('failures of a small system', () => {
	let system: SmallSystem;

	afterEach(async () => system.close());

	describe('hosts', () => {
		beforeEach(async () => {
			system = new SmallSystem({regions: {dsm: 3}, instances: 2});
			await system.start();
		});

		it('completes every request during a planned stop of a host', async () => {
			const caller = system.caller();
			const [first] = system.hosts;
			const outcomes: Array<Promise<Outcome>> = [];
			let requestsCut = -1;
			const stopping = (async () => {
				await delay(200);
				requestsCut = await first!.kernel.get('stop').stop();
				await first!.kernel.stop();
				first!.isUp = false;
			})();
			for (let index = 0; index < 300; index++) {
				outcomes.push(send(caller, index % 3 === 0 ? 'bid' : 'read', `n${index}`));
				await delay(4);
			}

			await stopping;
			const settled = await Promise.all(outcomes);
			expect(new Set(settled.map(outcome => outcome.kind))).toEqual(new Set(['whole']));
			expect(requestsCut).toBe(0);
			expect(countDoubleRuns(system)).toBe(0);
		});

		it('completes most requests when a host crashes and runs no idempotency key twice', async () => {
			const caller = system.caller();
			const outcomes: Array<Promise<Outcome>> = [];
			for (let index = 0; index < 300; index++) {
				if (index === 60) {
					void system.crash(system.hosts[0]!);
				}

				outcomes.push(send(caller, index % 3 === 0 ? 'bid' : 'read', `n${index}`));
				await delay(4);
			}

			const settled = await Promise.all(outcomes);
			const unknown = settled.filter(outcome => outcome.kind === 'unknown');
			expect(settled.filter(outcome => outcome.kind === 'whole').length).toBeGreaterThanOrEqual(280);
			expect(unknown.length).toBeLessThan(20);
			expect(countDoubleRuns(system)).toBe(0);
		});

		it('returns the recorded outcome of a key after its home crashed', async () => {
			const [home, other] = system.hosts;
			const token = home!.kernel.get('home').token!;
			const key = `${token}.once`;
			const sendKeyed = async (host: typeof home) => {
				const res = await fetch(`http://${host!.settings.listen.callers}/v1/call/bids/x`, {
					method: 'POST', headers: {'cowslipspar-class': 'bid', 'idempotency-key': key, connection: 'close'}, body: 'x',
				});
				return {outcome: res.headers.get('cowslipspar-outcome'), reason: res.headers.get('cowslipspar-reason'), body: await res.text()};
			};

			const first = await sendKeyed(home);
			await system.until('the backup has recorded the outcome', () => home!.kernel.get('home').unfinished === 0);
			await system.crash(home!);
			const second = await sendKeyed(other);
			expect(first.outcome).toBe('whole');
			expect(second).toMatchObject({outcome: 'whole', body: first.body});
			expect(system.runsByKey().get(key)).toBe(1);
		});

		it('seals a token whose home crashed before it received the key, reports that the key did not run and does not run it later', async () => {
			const [home, other] = system.hosts;
			const key = `${home!.kernel.get('home').token!}.late`;
			await system.crash(home!);
			const sendKeyed = async () => {
				const res = await fetch(`http://${other!.settings.listen.callers}/v1/call/bids/x`, {
					method: 'POST', headers: {'cowslipspar-class': 'bid', 'idempotency-key': key}, body: 'x',
				});
				return {outcome: res.headers.get('cowslipspar-outcome'), reason: res.headers.get('cowslipspar-reason'), token: res.headers.get('cowslipspar-token')};
			};

			expect(await sendKeyed()).toMatchObject({outcome: 'not-run', reason: 'token_sealed', token: expect.any(String) as string});
			expect(await sendKeyed()).toMatchObject({outcome: 'not-run', reason: 'token_sealed'});
			expect(system.runsByKey().get(key)).toBeUndefined();
		});

		it('runs a key once when copies of it are sent through every host at the same time', async () => {
			const key = `${system.hosts[0]!.kernel.get('home').token!}.both`;
			const responses = await Promise.all(system.hosts.map(async host => {
				const res = await fetch(`http://${host.settings.listen.callers}/v1/call/bids/x`, {
					method: 'POST', headers: {'cowslipspar-class': 'bid', 'idempotency-key': key}, body: 'x',
				});
				return {outcome: res.headers.get('cowslipspar-outcome'), body: await res.text()};
			}));
			expect(new Set(responses.map(response => response.outcome))).toEqual(new Set(['whole']));
			expect(new Set(responses.map(response => response.body)).size).toBe(1);
			expect(system.runsByKey().get(key)).toBe(1);
		});
	});

	describe('upstreams', () => {
		beforeEach(async () => {
			system = new SmallSystem({regions: {dsm: 2}, instances: 3});
			await system.start();
		});

		const countCrashes = () => system.upstreams.reduce((sum, item) => sum + item.standIn.counts.crashes, 0);

		it('completes concurrent copies with one request id, as after the retry of a lost request', async () => {
			const [host] = system.hosts;
			const owner = system.hosts.find(item => item.id === host!.kernel.get('members').ownerOf('bids').id)!;
			const job = (body: string) => ({
				head: {
					requestId: 'twice', service: 'bids', className: 'archive', method: 'POST', path: '/x?ms=50', remainingMs: 9000, headers: {}, region: 'dsm', caller: 'c', fingerprint: body,
				},
				body: Buffer.from(body),
				deadlineMs: performance.now() + 9000,
				isRepeatable: true,
				signal: new AbortController().signal,
			});
			const submissions = Array.from({length: 40}, async (_, index) => owner.kernel.get('dispatch').submit(job(`n${index}`)));
			const outcomes = await Promise.all(submissions);
			expect(outcomes.map(outcome => outcome.kind)).toEqual(Array.from({length: 40}, () => 'whole'));
		});

		it('reports the outcome "unknown" if an earlier attempt may have run, even if a later one did not run', async () => {
			const [host, other] = system.hosts;
			await system.crash(other!);
			await system.crash(host!);
			let calls = 0;
			const upstream: Upstream = {
				async call() {
					calls++;
					const outcome: Outcome = calls === 1
						? {kind: 'unknown', reason: 'answer_overdue', detail: ''}
						: {
							kind: 'not-run', reason: 'no_upstream', detail: '', retryAfterMs: 0,
						};
					return {outcome, mayHaveCrashed: false, isLeaving: false};
				},
				async health() {
					return {state: 'live', inFlight: 0, slots: 3};
				},
			};
			await system.boot(host!, kernel => {
				kernel.add({name: 'upstream', requires: [], start: () => upstream});
			});
			await system.until('the host has a configuration', () => host!.kernel.get('config').current !== undefined);
			const outcome = await host!.kernel.get('dispatch').submit({
				head: {
					requestId: 'r', service: 'bids', className: 'read', method: 'POST', path: '/x', remainingMs: 3000, headers: {}, region: 'dsm', caller: 'c', fingerprint: 'f',
				},
				body: Buffer.from('x'),
				deadlineMs: performance.now() + 3000,
				isRepeatable: true,
				signal: new AbortController().signal,
			});
			expect(calls).toBeGreaterThan(1);
			expect(outcome.kind).toBe('unknown');
		});

		it('quarantines a request that crashed two instances, however often it is sent again', async () => {
			const caller = system.caller();
			for (let index = 0; index < 6; index++) {
				const outcome = await send(caller, 'read', 'poison', 1500);
				expect(outcome.kind).not.toBe('whole');
			}

			expect(countCrashes()).toBe(2);
			expect(system.hosts.every(host => host.kernel.get('quarantine').blocked().length === 1)).toBe(true);
		});

		it('does not quarantine requests because of one faulty instance', async () => {
			const caller = system.caller();
			system.upstreams[0]!.standIn.setMode({isFaulty: true});
			for (let index = 0; index < 40; index++) {
				const outcome = await send(caller, 'read', 'good');
				expect(outcome.kind).toBe('whole');
			}

			expect(system.hosts.every(host => host.kernel.get('quarantine').blocked().length === 0)).toBe(true);
		});

		it('admits a quarantined request again after an operator lifts the quarantine', async () => {
			const caller = system.caller();
			await send(caller, 'read', 'poison', 1500);
			await send(caller, 'read', 'poison', 1500);
			const [blocked] = system.hosts[0]!.kernel.get('quarantine').blocked();
			await system.hosts[1]!.kernel.get('quarantine').lift(blocked!.fingerprint);
			expect(system.hosts.every(host => !host.kernel.get('quarantine').isBlocked(blocked!.fingerprint))).toBe(true);
		});

		it('runs a non-repeatable request that crashes its instance once and reports the outcome "unknown"', async () => {
			const outcome = await send(system.caller(), 'bid', 'poison');
			expect(outcome).toMatchObject({kind: 'unknown', reason: 'connection_lost'});
			expect(countCrashes()).toBe(1);
		});

		it('sends no new requests to an instance that reports that it is leaving', async () => {
			const caller = system.caller();
			await Promise.all(Array.from({length: 20}, async () => send(caller, 'read')));
			const [leaving] = system.upstreams;
			leaving!.standIn.setMode({isLeaving: true});
			await delay(1500);
			const before = leaving!.standIn.counts.runs;
			await Promise.all(Array.from({length: 40}, async () => send(caller, 'read')));
			expect(leaving!.standIn.counts.runs).toBe(before);
		});

		it('completes repeatable requests after the open connections stop responding', async () => {
			const caller = system.caller();
			await Promise.all(Array.from({length: 20}, async () => send(caller, 'read')));
			for (const item of system.upstreams) {
				item.standIn.silenceOpenConnections();
			}

			const outcomes = await Promise.all(Array.from({length: 20}, async () => send(caller, 'read')));
			expect(outcomes.every(outcome => outcome.kind === 'whole')).toBe(true);
		});

		it('reports the outcome "not-run" when no instance is reachable', async () => {
			for (const item of system.upstreams) {
				await item.standIn.close();
			}

			expect(await send(system.caller(), 'bid', 'x', 1500)).toMatchObject({kind: 'not-run'});
			expect(countDoubleRuns(system)).toBe(0);
		});
	});

	describe('configuration', () => {
		beforeEach(async () => {
			system = new SmallSystem({regions: {dsm: 3, aru: 2}, instances: 1});
			await system.start();
		});

		const revisions = () => system.hosts.filter(host => host.isUp).map(host => host.kernel.get('config').current?.revision);

		it('accepts one of two concurrent publications and reports its author to the other operator', async () => {
			const [one, two] = [system.publisher('one'), system.publisher('two')];
			const head = await one.head();
			if (!head.success) {
				throw new Error('expected the published manifest, but reading it failed');
			}

			const results = await Promise.all([
				one.publish(system.publication({targetMs: 300}), head.data),
				two.publish(system.publication({targetMs: 400}), head.data),
			]);
			expect(results.filter(result => result.success)).toHaveLength(1);
			const refused = results.find(result => !result.success);
			expect(refused).toMatchObject({success: false, error: {code: 'conflict', message: expect.stringMatching(/by one.*by two|by two.*by one/) as string}});
			await system.until('the accepted publication is in force on every host', () => revisions().every(revision => revision === 2));
		});

		it('recognizes its own publication when the response to the write was lost', async () => {
			const publisher = system.publisher();
			const head = await publisher.head();
			system.store.setFaults({lostAnswers: 1});
			const published = head.success ? await publisher.publish(system.publication({targetMs: 300}), head.data) : undefined;
			system.store.setFaults({});
			expect(published).toMatchObject({success: true, data: {manifest: {revision: 2}}});
		});

		it('provides a starting host with its peers\' configuration while the store is unavailable', async () => {
			system.store.setFaults({isOut: true});
			const [host] = system.hosts;
			await system.crash(host!);
			await system.boot(host!);
			await system.until('the host has the configuration', () => host!.kernel.get('config').current?.revision === 1);
		});

		it('reports a host as not ready while neither the store nor a peer is available', async () => {
			system.store.setFaults({isOut: true});
			for (const host of system.hosts) {
				await system.crash(host);
			}

			const [isolated] = system.hosts;
			await system.boot(isolated!);
			await delay(500);
			const res = await fetch(`http://${isolated!.settings.listen.operators}/readyz`);
			expect(res.status).toBe(503);
			const call = await fetch(`http://${isolated!.settings.listen.callers}/v1/call/bids/x`, {method: 'POST', headers: {'cowslipspar-class': 'read'}, body: 'x'});
			expect(call.headers.get('cowslipspar-reason')).toBe('not_ready');
			system.store.setFaults({});
			await system.until('the host has the configuration', () => isolated!.kernel.get('config').current?.revision === 1);
		});

		it('drains a host and then every zone of a region while callers are served, and undrains them', async () => {
			const drain = async (drained: string[]) => {
				const publisher = system.publisher();
				const head = await publisher.head();
				const published = head.success ? await publisher.setDrained(drained, head.data) : head;
				expect(published.success).toBe(true);
			};

			const [first, second, third] = system.hosts;
			const ownerIds = () => new Set([first, second, third].map(host => host!.kernel.get('members').ownerOf('bids').id));
			const owner = [...ownerIds()][0]!;
			const caller = system.caller([first!, second!, third!]);
			await drain([`host:${owner}`]);
			await system.until('another host is the owner', () => ownerIds().size === 1 && !ownerIds().has(owner));
			const drained = system.hosts.find(host => host.id === owner)!;
			const listed = first!.kernel.get('lookup').lookup('bids', '')!.hosts.map(host => host.address);
			expect(listed).not.toContain(drained.settings.listen.callers);
			expect(drained.kernel.get('status').isReady()).toBe(false);
			await expect(send(caller, 'read')).resolves.toMatchObject({kind: 'whole'});
			await drain(['zone:dsm-a', 'zone:dsm-b']);
			await system.until('every host of the region is draining', () => first!.kernel.get('members').membership.candidates().length === 0);
			await expect(send(caller, 'read', 'x', 1000)).resolves.not.toMatchObject({kind: 'unknown'});
			await drain([]);
			await system.until('no host of the region is draining', () => first!.kernel.get('members').membership.candidates().length === 3);
			caller.forget();
			await expect(send(caller, 'bid')).resolves.toMatchObject({kind: 'whole'});
		});

		it('keeps the newer configuration when the store returns a stale value', async () => {
			const publisher = system.publisher();
			const head = await publisher.head();
			await publisher.publish(system.publication({targetMs: 300}), head.success ? head.data : {manifest: undefined, version: 0});
			await system.until('the second publication is in force on every host', () => revisions().every(revision => revision === 2));
			system.store.setFaults({isStale: true});
			await system.crash(system.hosts[0]!);
			await system.boot(system.hosts[0]!);
			await system.until('the restarted host has it in force as well', () => revisions().every(revision => revision === 2));
			await delay(500);
			expect(revisions()).toEqual([2, 2, 2, 2, 2]);
		});

		it('keeps the configuration in force when an invalid one is written to the store', async () => {
			const publisher = system.publisher();
			const head = await publisher.head();
			if (!head.success) {
				throw new Error('expected the published manifest, but reading it failed');
			}

			const valid = system.publication();
			await publisher.publish({...valid, services: {bids: {...valid.services.bids!, classes: []}}}, head.data);
			await delay(1000);
			expect(revisions()).toEqual([1, 1, 1, 1, 1]);
		});
	});
});

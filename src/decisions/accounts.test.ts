import {describe, expect, it} from 'vitest';
import {type Account} from '../contracts/account.js';
import {type Route} from '../contracts/route.js';
import {commonRegions} from './common-regions.js';
import {identifyAccount} from './identify-account.js';
import {PlacementPlan} from './placement-plan.js';
import {PrioritiesInUse} from './priorities-in-use.js';
import {scopedObjectKey} from './scoped-object-key.js';
import {targetsByPriority} from './targets-by-priority.js';

const account = (name: string, priority?: number): Account => ({
	name, priority, allowedRegions: [], quota: undefined,
});
const route = (fields: Partial<Route>): Route => ({
	name: 'r', host: 'h', prefix: '/', isRepeatable: true, timeoutMs: 1000, targetMs: 200, priority: 1,
	targets: [{service: 's', weight: 1}], maxAttempts: 2, hasAffinity: true, allowedRegions: [], isPublic: false, ...fields,
});
const accountsOf = (...accounts: readonly Account[]) => new Map(accounts.map(item => [item.name, item]));

describe('identification', () => {
	const acme = account('acme');
	const table = {accounts: accountsOf(acme), accountByKey: new Map([['k', acme]])};

	it.each([
		[false, 'k', 'account'], [false, 'x', 'unknown_key'], [false, undefined, 'missing_key'], [true, 'k', 'account'], [true, 'x', 'anonymous'], [true, undefined, 'anonymous'],
	])('on a route with isPublic %s and the key %s gives %s', (isPublic, key, kind) => {
		expect(identifyAccount({table, isPublic, key})).toMatchObject(kind === 'account' ? {kind, account: acme} : {kind});
	});

	it('refuses nobody if the configuration has no accounts', () => {
		expect(identifyAccount({table: {accounts: new Map(), accountByKey: new Map()}, isPublic: false, key: 'x'})).toEqual({kind: 'anonymous'});
	});

	it('refuses everybody if no account holds a key', () => {
		expect(identifyAccount({table: {accounts: accountsOf(acme), accountByKey: new Map()}, isPublic: false, key: 'k'})).toEqual({kind: 'unknown_key'});
	});
});

describe('regions of a route and an account', () => {
	it.each([
		[[], [], []], [['a'], [], ['a']], [[], ['b'], ['b']], [['a', 'b'], ['b', 'c'], ['b']], [['a'], ['b'], undefined],
	])('%j and %j allow %j', (first, second, common) => {
		expect(commonRegions(first, second)).toEqual(common);
	});
});

describe('priorities of a service', () => {
	const entriesOf = (routes: readonly Route[], ...accounts: readonly Account[]) => [...targetsByPriority({routes, accounts: accountsOf(...accounts)}).get('s') ?? []];

	it('are those of its routes without accounts', () => {
		expect(entriesOf([route({priority: 2, targetMs: 50}), route({priority: 1}), route({priority: 0, hasAffinity: false})])).toEqual([[1, 200], [2, 50]]);
	});

	it('leave out the priority of a route that no request can have', () => {
		expect(entriesOf([route({priority: 0})], account('a', 1), account('b', 2))).toEqual([[1, 200], [2, 200]]);
	});

	it('include the priority of a public route and of a route that an account without its own can use', () => {
		expect(entriesOf([route({priority: 0, isPublic: true}), route({priority: 3, targetMs: 50})], account('a', 1))).toEqual([[0, 200], [1, 50]]);
		expect(entriesOf([route({priority: 3})], account('a', 1), account('b'))).toEqual([[1, 200], [3, 200]]);
	});

	it('in use leave out those of accounts that send nothing, which would hold instances free', () => {
		const inUse = new PrioritiesInUse();
		inUse.record('s', 1, 0);
		expect(inUse.of('s', {reported: undefined, possible: [0, 1, 2]}, 0)).toEqual([0, 1, 2]);
		expect(inUse.of('s', {reported: [2], possible: [0, 1, 2]}, 9999)).toEqual([1, 2]);
		expect(inUse.of('s', {reported: [2], possible: [0, 1, 2]}, 10_000)).toEqual([2]);
	});
});

describe('an object that accounts with different regions request', () => {
	const restricted = scopedObjectKey.of('k', ['b'], []);
	const instances = ['a', 'b'].map(region => ({
		id: `${region}0`, service: 's', region, slots: 8,
	}));

	it('keeps an assignment for each set of regions, so that one account does not send the others abroad', () => {
		const plan = new PlacementPlan({region: 'a'}, 1, new Map(), 0);
		for (let nowMs = 0; nowMs < 20_000; nowMs += 500) {
			plan.applyReport({
				host: 'h', haveVersion: 0, known: [], routes: [], slow: [], runs: [], objects: [['s', '/', 1, 'k', 5, []], ['s', '/', 1, restricted, 5, ['b']]],
			}, nowMs);
			plan.tick({
				instances, priorities: new Map([['s', [1]]]), hasAccounts: true, hosts: new Map([['a', 1]]),
			}, nowMs);
			expect([plan.instanceOf('s|1|k'), plan.instanceOf(`s|1|${restricted}`)]).toEqual(['a0', 'b0']);
		}

		expect(plan.prioritiesInUse).toEqual([['s', [1]]]);
	});

	it('keeps its own key where the account adds no restriction', () => {
		expect([scopedObjectKey.of('k', ['a'], ['a']), scopedObjectKey.plain(restricted)]).toEqual(['k', 'k']);
	});
});

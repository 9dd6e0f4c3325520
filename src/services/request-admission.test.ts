import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {type Account} from '../contracts/account.js';
import {type Route} from '../contracts/route.js';
import {type RouteTable} from '../contracts/route-table.js';
import {type ProxyRequest} from './proxy-request.js';
import {RequestAdmission} from './request-admission.js';

const route = (services: Readonly<Record<string, number>>, fields: Partial<Route> = {}): Route => ({
	name: 'r',
	host: 'shop.example',
	prefix: '/a/',
	isRepeatable: true,
	timeoutMs: 1000,
	targetMs: 200,
	priority: 1,
	targets: Object.entries(services).map(([service, weight]) => ({service, weight})),
	maxAttempts: 2,
	hasAffinity: false,
	allowedRegions: [],
	isPublic: false,
	...fields,
});
const req = {host: 'shop.example', target: '/a/b?c', disconnect: new AbortController().signal} as unknown as ProxyRequest;

describe('RequestAdmission', () => {
	let routeInForce: Route | undefined;
	let table: RouteTable | undefined;
	let drawn: string[];
	let unconfirmedMs: number;
	let admission: RequestAdmission;

	function publish(next: Route | undefined): void {
		routeInForce = next;
		table = {version: 1, accounts: new Map(), accountByKey: new Map()} as unknown as RouteTable;
	}

	beforeEach(() => {
		drawn = [];
		unconfirmedMs = 0;
		admission = new RequestAdmission({
			steering: {
				get routes() {
					return table;
				},
				match: () => routeInForce,
				get unconfirmedMs() {
					return unconfirmedMs;
				},
				nextServiceOf(from) {
					const service = from.targets.find(({weight}) => weight > 0)?.service;
					drawn.push(service ?? 'none');
					return service;
				},
			},
			metrics: {count: () => undefined},
			maxUnconfirmedMs: 2400,
		});
		publish(route({books: 1}));
	});

	function admitted() {
		const first = admission.admit(req);
		return first.kind === 'admitted' ? {admission: first, service: 'books'} : expect.unreachable();
	}

	// Guards against requests that run outside their homes because this host does not know that these have changed (HOME).
	describe('on a host that may lack a later configuration', () => {
		const unconfirmed = {kind: 'refused', outcome: {kind: 'not_run', reason: 'unconfirmed'}};
		const account: Account = {
			name: 'acme', priority: undefined, allowedRegions: ['a'], quota: undefined,
		};

		function publishWithAccount(fields: Partial<Route> = {}): void {
			publish(route({books: 1}, fields));
			table = {...table!, accounts: new Map([['acme', account]]), accountByKey: new Map([['k', account]])};
		}

		it.each([[2400, 'admitted'], [2401, 'refused'], [Number.POSITIVE_INFINITY, 'refused']])('%s ms after the last confirmation, a request whose route has homes is %s', (ageMs, kind) => {
			publish(route({books: 1}, {allowedRegions: ['a']}));
			unconfirmedMs = ageMs;
			expect(admission.admit(req)).toMatchObject(kind === 'refused' ? unconfirmed : {kind});
		});

		it('refuses a request whose account has homes', () => {
			publishWithAccount();
			unconfirmedMs = 3000;
			expect(admission.admit({...req, accountKey: 'k'})).toMatchObject(unconfirmed);
		});

		it('refuses a request to a public route with a key whose account may only be in a later configuration', () => {
			publishWithAccount({isPublic: true});
			unconfirmedMs = 3000;
			expect(admission.admit({...req, accountKey: 'new'})).toMatchObject(unconfirmed);
			unconfirmedMs = 0;
			expect(admission.admit({...req, accountKey: 'new'})).toMatchObject({kind: 'admitted', account: undefined});
		});

		it('refuses nothing for good that a later configuration may allow', () => {
			publishWithAccount();
			expect(admission.admit({...req, accountKey: 'new'})).toMatchObject({outcome: {kind: 'invalid', reason: 'unauthorized'}});
			unconfirmedMs = 3000;
			expect(admission.admit({...req, accountKey: 'new'})).toMatchObject(unconfirmed);
			publish(undefined);
			expect(admission.admit(req)).toMatchObject(unconfirmed);
		});

		it('serves requests without homes', () => {
			publishWithAccount({isPublic: true});
			unconfirmedMs = Number.POSITIVE_INFINITY;
			expect(admission.admit(req)).toMatchObject({kind: 'admitted'});
		});

		it('refuses a request that was admitted before it waited', () => {
			publish(route({books: 1}, {allowedRegions: ['a']}));
			const before = admitted();
			unconfirmedMs = 3000;
			expect(admission.decideAgain(req, before)).toMatchObject(unconfirmed);
		});
	});

	// Guards against requests that are sent as an older configuration allows, after they waited while another one came into force (CONFIG).
	describe('for a request that waited', () => {
		it('takes the service that the route has now', () => {
			const before = admitted();
			publish(route({papers: 1}, {priority: 2}));
			expect(admission.decideAgain(req, before)).toMatchObject({kind: 'admitted', service: 'papers', admission: {priority: 2, route: {targets: [{service: 'papers'}]}}});
		});

		it('refuses it if its route is gone, or has no service with a weight', () => {
			const before = admitted();
			publish(undefined);
			expect(admission.decideAgain(req, before)).toMatchObject({kind: 'refused', outcome: {kind: 'invalid', reason: 'no_route'}});
			publish(route({books: 0, papers: 0}));
			expect(admission.decideAgain(req, before)).toMatchObject({kind: 'refused', outcome: {kind: 'invalid', reason: 'no_route'}});
		});

		it('takes no second turn of the traffic split while its service stays a target, and none at all without another configuration', () => {
			const before = admitted();
			expect(admission.decideAgain(req, before)).toEqual({kind: 'admitted', ...before});
			publish(route({papers: 3, books: 1}));
			expect(admission.decideAgain(req, before)).toMatchObject({kind: 'admitted', service: 'books'});
			expect(drawn).toEqual([]);
			publish(route({papers: 3, books: 0}));
			expect(admission.decideAgain(req, before)).toMatchObject({kind: 'admitted', service: 'papers'});
			expect(drawn).toEqual(['papers']);
		});
	});
});

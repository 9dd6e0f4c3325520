import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type Route} from '../contracts/route.js';
import {RouteMatcher} from './route-matcher.js';
import {TrafficSplit} from './traffic-split.js';

function route(fields: Partial<Route>): Route {
	return {
		name: 'r', host: 'shop.example', prefix: '/', isRepeatable: true, timeoutMs: 1000, targetMs: 100, priority: 0,
		targets: [{service: 'a', weight: 1}], maxAttempts: 2, hasAffinity: false, allowedRegions: [], isPublic: false, ...fields,
	};
}

describe('route matcher', () => {
	const matcher = new RouteMatcher([
		route({name: 'all', prefix: '/'}),
		route({name: 'deep', prefix: '/a/b/'}),
		route({name: 'shallow', prefix: '/a/'}),
		route({name: 'other', host: 'other.example', prefix: '/a/b/c/'}),
	]);

	it.each([
		['shop.example', '/a/b/c/d', 'deep'],
		['shop.example', '/a/bc', 'shallow'],
		['shop.example', '/a', 'all'],
		['SHOP.example:8080', '/a/b/', 'deep'],
		['other.example', '/a/b/c/d', 'other'],
		['other.example', '/a/b/', undefined],
		['unknown.example', '/', undefined],
		['', '/', undefined],
	])('matches %s%s to route %s', (host, path, name) => {
		expect(matcher.match(host, path)?.name).toBe(name);
	});
});

describe('traffic split', () => {
	it('keeps each service within as many requests of its share as the route has services, after any number of requests', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 100}), {minLength: 1, maxLength: 5}), fc.integer({min: 1, max: 300}), (weights, requests) => {
			const total = weights.reduce((sum, weight) => sum + weight, 0);
			fc.pre(total > 0);
			const split = new TrafficSplit();
			const target = route({targets: weights.map((weight, index) => ({service: `s${index}`, weight}))});
			const counts = new Map<string, number>();
			for (let index = 0; index < requests; index++) {
				const service = split.next(target)!;
				counts.set(service, (counts.get(service) ?? 0) + 1);
			}

			for (const [index, weight] of weights.entries()) {
				expect(Math.abs((counts.get(`s${index}`) ?? 0) - (requests * weight / total))).toBeLessThanOrEqual(weights.length);
			}
		}));
	});

	it('returns no service for a route without targets', () => {
		expect(new TrafficSplit().next(route({targets: []}))).toBeUndefined();
	});
});

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {GrantBook} from './grant-book.js';
import {GrantIssuer} from './grant-issuer.js';
import {SeededRandom} from './seeded-random.js';

const wish = {
	from: 'aru', want: 100, headroom: 50, shiftCapPerSecond: 10, bytesPerSecond: 1_000_000,
};

describe('grants between regions', () => {
	describe('the issuer', () => {
		it('starts small and grows no faster than the cap', () => {
			const issuer = new GrantIssuer();
			const granted: number[] = [];
			for (let nowMs = 0; nowMs <= 5000; nowMs += 1000) {
				const grant = issuer.issue(wish, nowMs);
				granted.push(grant.requests);
				for (let index = 0; index < grant.requests; index++) {
					issuer.arrived('aru');
				}
			}

			expect(granted[0]).toBe(2);
			for (const [index, requests] of granted.entries()) {
				expect(requests).toBeLessThanOrEqual(2 + (index * 5));
			}
		});

		it('grants nothing beyond the headroom, whatever regions ask', () => {
			const issuer = new GrantIssuer();
			const total = ['a', 'b', 'c', 'd'].reduce((sum, from) => sum + issuer.issue({...wish, from, headroom: 5}, 0).requests, 0);
			expect(total).toBeLessThanOrEqual(5);
			expect(issuer.issue({...wish, from: 'e', headroom: 5}, 100).requests).toBe(0);
		});

		it('counts grants that were not used until they can no longer arrive', () => {
			const issuer = new GrantIssuer();
			expect(issuer.issue({...wish, headroom: 2}, 0).requests).toBe(2);
			expect(issuer.issue({...wish, headroom: 2}, 900).requests).toBe(0);
			expect(issuer.issue({...wish, headroom: 2}, 1001).requests).toBe(2);
		});

		it('grants nothing more on a link whose bytes are spent', () => {
			const issuer = new GrantIssuer();
			issuer.issue(wish, 0);
			issuer.answered('aru', 2_000_000);
			expect(issuer.issue(wish, 500).requests).toBe(0);
		});

		it('grants nothing to a region without a link budget', () => {
			expect(new GrantIssuer().issue({...wish, shiftCapPerSecond: 0}, 0).requests).toBe(0);
			expect(new GrantIssuer().issue({...wish, bytesPerSecond: 0}, 0).requests).toBe(0);
		});
	});

	describe('the book', () => {
		it('lets no credit be used after its time, counted from the asking', () => {
			const book = new GrantBook();
			book.add('dsm', {requests: 5, bytes: 1000, validMs: 500}, 1000);
			expect(book.take(10, 1499)).toBe('dsm');
			expect(book.take(10, 1500)).toBeUndefined();
		});

		it('spends requests and bytes', () => {
			const book = new GrantBook();
			book.add('dsm', {requests: 2, bytes: 100, validMs: 500}, 0);
			expect(book.take(60, 1)).toBe('dsm');
			expect(book.take(60, 1)).toBeUndefined();
			expect(book.take(40, 1)).toBe('dsm');
			expect(book.take(0, 1)).toBeUndefined();
		});

		it('asks only while credits are wanted, and not too often', () => {
			const book = new GrantBook();
			expect(book.asks(['dsm'], 0)).toEqual([]);
			book.take(1, 0);
			expect(book.asks(['dsm'], 0)).toEqual([{region: 'dsm', want: 3}]);
			expect(book.asks(['dsm'], 100)).toEqual([]);
			expect(book.asks(['dsm'], 5000)).toEqual([]);
		});
	});

	describe('both together over a network that delays and loses', () => {
		it('never has more under way than the headroom granted for', () => {
			fc.assert(fc.property(fc.nat(1_000_000), seed => {
				const random = new SeededRandom(seed);
				const issuer = new GrantIssuer();
				const books = new Map(['a', 'b', 'c'].map(name => [name, new GrantBook()]));
				const headroom = 20;
				const travelling: Array<{from: string; atMs: number}> = [];
				const grants: Array<{from: string; atMs: number; askedMs: number; grant: ReturnType<GrantIssuer['issue']>}> = [];
				for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
					for (const [from, book] of books) {
						if (random.next() < 0.3) {
							const grant = issuer.issue({...wish, from, headroom}, nowMs);
							if (random.next() < 0.8) {
								grants.push({
									from, atMs: nowMs + random.below(400), askedMs: nowMs - random.below(200), grant,
								});
							}
						}

						for (const arrived of grants.filter(item => item.from === from && item.atMs <= nowMs)) {
							book.add(from, arrived.grant, arrived.askedMs);
							grants.splice(grants.indexOf(arrived), 1);
						}

						while (random.next() < 0.7 && book.take(10, nowMs) !== undefined) {
							travelling.push({from, atMs: nowMs + random.below(300)});
						}
					}

					for (const item of travelling.filter(entry => entry.atMs <= nowMs)) {
						travelling.splice(travelling.indexOf(item), 1);
						issuer.arrived(item.from);
					}

					expect(travelling.length).toBeLessThanOrEqual(headroom);
					expect(travelling.length).toBeLessThanOrEqual(issuer.outstanding(nowMs));
				}
			}), {seed: 3, numRuns: 50});
		});
	});
});

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {CreditBalance} from './credit-balance.js';
import {GrantIssuer} from './grant-issuer.js';
import {SeededRandom} from './seeded-random.js';

const grantRequest = {
	from: 'aru', want: 100, headroom: 50, shiftCapPerSecond: 10, bytesPerSecond: 1_000_000,
};

describe('grants between regions', () => {
	describe('the issuer', () => {
		it('starts at a low rate and grows no faster than the cap', () => {
			const issuer = new GrantIssuer();
			const granted: number[] = [];
			for (let nowMs = 0; nowMs <= 5000; nowMs += 1000) {
				const grant = issuer.issue(grantRequest, nowMs);
				granted.push(grant.requests);
				for (let index = 0; index < grant.requests; index++) {
					issuer.recordArrival('aru');
				}
			}

			expect(granted[0]).toBe(2);
			for (const [index, requests] of granted.entries()) {
				expect(requests).toBeLessThanOrEqual(2 + (index * 5));
			}
		});

		it('grants no more than the headroom over all regions', () => {
			const issuer = new GrantIssuer();
			const total = ['a', 'b', 'c', 'd'].reduce((sum, from) => sum + issuer.issue({...grantRequest, from, headroom: 5}, 0).requests, 0);
			expect(total).toBeLessThanOrEqual(5);
			expect(issuer.issue({...grantRequest, from: 'e', headroom: 5}, 100).requests).toBe(0);
		});

		it('counts unused grants as outstanding until their requests can no longer arrive', () => {
			const issuer = new GrantIssuer();
			expect(issuer.issue({...grantRequest, headroom: 2}, 0).requests).toBe(2);
			expect(issuer.issue({...grantRequest, headroom: 2}, 900).requests).toBe(0);
			expect(issuer.issue({...grantRequest, headroom: 2}, 1001).requests).toBe(2);
		});

		it('grants nothing on a link whose bytes are used up', () => {
			const issuer = new GrantIssuer();
			issuer.issue(grantRequest, 0);
			issuer.recordResponse('aru', 2_000_000);
			expect(issuer.issue(grantRequest, 500).requests).toBe(0);
		});

		it('grants nothing to a region without a link budget', () => {
			expect(new GrantIssuer().issue({...grantRequest, shiftCapPerSecond: 0}, 0).requests).toBe(0);
			expect(new GrantIssuer().issue({...grantRequest, bytesPerSecond: 0}, 0).requests).toBe(0);
		});
	});

	describe('credits held from other regions', () => {
		it('expires a credit by its validity, counted from the moment at which it was requested', () => {
			const balance = new CreditBalance();
			balance.add('dsm', {requests: 5, bytes: 1000, validMs: 500}, 1000);
			expect(balance.take(10, 1499)).toBe('dsm');
			expect(balance.take(10, 1500)).toBeUndefined();
		});

		it('uses up the requests and bytes of a grant', () => {
			const balance = new CreditBalance();
			balance.add('dsm', {requests: 2, bytes: 100, validMs: 500}, 0);
			expect(balance.take(60, 1)).toBe('dsm');
			expect(balance.take(60, 1)).toBeUndefined();
			expect(balance.take(40, 1)).toBe('dsm');
			expect(balance.take(0, 1)).toBeUndefined();
		});

		it('requests credits only while there is demand, and at limited frequency', () => {
			const balance = new CreditBalance();
			expect(balance.dueCreditRequests(['dsm'], 0)).toEqual([]);
			balance.take(1, 0);
			expect(balance.dueCreditRequests(['dsm'], 0)).toEqual([{region: 'dsm', want: 3}]);
			expect(balance.dueCreditRequests(['dsm'], 100)).toEqual([]);
			expect(balance.dueCreditRequests(['dsm'], 5000)).toEqual([]);
		});
	});

	describe('issuer and credits over a network that delays and loses messages', () => {
		it('never have more requests in transit than the headroom', () => {
			fc.assert(fc.property(fc.nat(1_000_000), seed => {
				const random = new SeededRandom(seed);
				const issuer = new GrantIssuer();
				const balances = new Map(['a', 'b', 'c'].map(name => [name, new CreditBalance()]));
				const headroom = 20;
				const inTransit: Array<{from: string; atMs: number}> = [];
				const grants: Array<{from: string; atMs: number; requestedMs: number; grant: ReturnType<GrantIssuer['issue']>}> = [];
				for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
					for (const [from, balance] of balances) {
						if (random.next() < 0.3) {
							const grant = issuer.issue({...grantRequest, from, headroom}, nowMs);
							if (random.next() < 0.8) {
								grants.push({
									from, atMs: nowMs + random.below(400), requestedMs: nowMs - random.below(200), grant,
								});
							}
						}

						for (const received of grants.filter(item => item.from === from && item.atMs <= nowMs)) {
							balance.add(from, received.grant, received.requestedMs);
							grants.splice(grants.indexOf(received), 1);
						}

						while (random.next() < 0.7 && balance.take(10, nowMs) !== undefined) {
							inTransit.push({from, atMs: nowMs + random.below(300)});
						}
					}

					for (const item of inTransit.filter(entry => entry.atMs <= nowMs)) {
						inTransit.splice(inTransit.indexOf(item), 1);
						issuer.recordArrival(item.from);
					}

					expect(inTransit.length).toBeLessThanOrEqual(headroom);
					expect(inTransit.length).toBeLessThanOrEqual(issuer.outstanding(nowMs));
				}
			}), {seed: 3, numRuns: 50});
		});
	});
});

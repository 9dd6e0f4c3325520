import {type Account} from '../contracts/account.js';

type Quota = NonNullable<Account['quota']>;

type QuotaBounds = {
	/** Length of the window in which requests are counted, in milliseconds. */
	readonly quotaWindowMs: number;
	/** Share of the quota of one window by which the count may exceed it. */
	readonly quotaOverage: number;
	/** Number of requests by which the count may exceed the quota in addition. */
	readonly quotaTolerance: number;
};

/** How the quota of an account is divided, so that all hosts together stay within the bound. */
type QuotaLimits = {
	/** Tokens per millisecond that all slots together mint. */
	readonly ratePerMs: number;
	/** Tokens that the buckets of all slots together hold. */
	readonly depth: number;
	/** Time after which a token that has left its bucket is void, in milliseconds. */
	readonly loanMs: number;
	/** Time for which a token that has left its bucket is kept in mind there, in milliseconds. */
	readonly outsideMs: number;
};

/** Share of the permitted excess that buckets and loans use. The rest covers the time from a token's use until its request runs at an instance. */
const usedShareOfExcess = 0.9;
/** Share of that excess for tokens that have left their buckets; the buckets get the rest. */
const loanShareOfExcess = 0.5;
/** Tokens that leave a bucket within this time are kept in mind together. */
const mergeMs = 10;
const mergeShare = 0.1;
/** Longer loans need fewer calls, but hosts that no longer need their tokens hold them for as long. */
const maxLoanMs = 500;

/**
 * Divides the permitted excess. If each slot mints at one host at a time, then in a window of length W all hosts together use at most
 * the tokens that exist at its start, which are `depth` in buckets and `ratePerMs * outsideMs` outside of them, and those minted in it, `ratePerMs * W`.
 * So `depth + ratePerMs * outsideMs` has to stay below the burst and the excess. Designed for rates of 1 to 100,000 a second.
 */
export function quotaLimits({ratePerSecond, burst}: Quota, {quotaWindowMs, quotaOverage, quotaTolerance}: QuotaBounds): QuotaLimits {
	const ratePerMs = ratePerSecond / 1000;
	const excess = usedShareOfExcess * ((quotaOverage * ((ratePerMs * quotaWindowMs) + burst)) + quotaTolerance);
	const loanMs = Math.min(maxLoanMs, loanShareOfExcess * excess / ratePerMs);
	const outsideMs = loanMs + Math.min(mergeMs, mergeShare * loanMs);
	// A bucket below one token would serve nothing under a bound without any excess.
	return {
		ratePerMs, loanMs, outsideMs, depth: Math.max(1, burst + excess - (ratePerMs * outsideMs)),
	};
}

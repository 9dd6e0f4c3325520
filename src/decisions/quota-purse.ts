/** Tokens that were received at once. */
type Lump = {
	kind: 'lump';
	tokens: number;
	readonly expiresMs: number;
	/** Lender, and its id of the loan; `undefined` if the tokens cannot go back. */
	readonly loan: Loan | undefined;
};

type Loan = {readonly peer: string; readonly loanId: number};

/** Rate at which this host mints tokens in place of the lender, and those minted so far. */
type Stream = {
	kind: 'stream';
	readonly ratePerMs: number;
	readonly startMs: number;
	endMs: number;
	/** Lender, and its id of the loan. */
	readonly peer: string;
	readonly loanId: number;
	/** Time after which a token is void, in milliseconds. */
	readonly loanMs: number;
	tokens: number;
	updatedMs: number;
};

/** Parts that were taken, with the sources that they go back to. */
type TakenPart = {readonly source: Lump | Stream; readonly tokens: number};

/** Tokens below this number come from rounding. */
const roundingError = 1e-9;

/**
 * Tokens of one account that a host holds outside of buckets. None is used later than the time that its lender states after it left
 * its bucket or was minted. Designed for some dozens of loans at a time.
 */
export class QuotaPurse {
	#sources: Array<Lump | Stream> = [];

	addLump({tokens, expiresMs, loan}: Omit<Lump, 'kind'>, nowMs: number): void {
		if (tokens > 0 && expiresMs > nowMs) {
			this.#sources.push({
				kind: 'lump', tokens, expiresMs, loan,
			});
		}
	}

	/** Adds a rate that is lent until `endMs`; each token is void `loanMs` after it was minted. */
	addStream(rate: {readonly peer: string; readonly loanId: number; readonly ratePerMs: number; readonly endMs: number; readonly loanMs: number}, nowMs: number): void {
		if (rate.ratePerMs > 0 && rate.endMs > nowMs) {
			this.#sources.push({
				kind: 'stream', ...rate, startMs: nowMs, tokens: 0, updatedMs: nowMs,
			});
		}
	}

	/** Removes the tokens that one of `peers` lent and that are valid until `untilMs`; returns them by loan. */
	removeLumps(peers: ReadonlySet<string>, untilMs: number): ReadonlyArray<Loan & {readonly tokens: number}> {
		const removed: Array<Loan & {tokens: number}> = [];
		for (const source of this.#sources) {
			if (source.kind === 'lump' && source.loan !== undefined && source.expiresMs > untilMs && source.tokens >= 1 && peers.has(source.loan.peer)) {
				removed.push({...source.loan, tokens: source.tokens});
				source.tokens = 0;
			}
		}

		return removed;
	}

	/** Extends a stream that has not ended. */
	renewStream(peer: string, loanId: number, endMs: number, nowMs: number): void {
		const stream = this.#streams().find(source => source.peer === peer && source.loanId === loanId);
		if (stream !== undefined && stream.endMs > nowMs) {
			stream.endMs = Math.max(stream.endMs, endMs);
		}
	}

	/** Returns the streams that have not ended. */
	streams(nowMs: number): ReadonlyArray<{readonly peer: string; readonly loanId: number; readonly ratePerMs: number; readonly endMs: number}> {
		return this.#streams().filter(source => source.endMs > nowMs);
	}

	/** Returns the number of tokens. */
	level(nowMs: number): number {
		this.#advance(nowMs);
		let sum = 0;
		for (const source of this.#sources) {
			sum += source.tokens;
		}

		return sum;
	}

	/** Takes up to `count` tokens, those first that are void first; returns the parts. */
	take(count: number, nowMs: number): readonly TakenPart[] {
		this.#advance(nowMs);
		const parts: TakenPart[] = [];
		let missing = count;
		for (const source of this.#sources.toSorted((a, b) => voidMs(a) - voidMs(b))) {
			const tokens = Math.min(missing, source.tokens);
			if (tokens > roundingError) {
				source.tokens -= tokens;
				missing -= tokens;
				parts.push({source, tokens});
			}
		}

		return parts;
	}

	/** Puts parts back that were not used. They are void when they would have been. */
	putBack(parts: readonly TakenPart[], nowMs: number): void {
		for (const {source, tokens} of parts) {
			if (source.kind === 'lump') {
				this.addLump({...source, tokens}, nowMs);
			} else {
				source.tokens += tokens;
			}
		}

		this.#advance(nowMs);
	}

	#streams(): Stream[] {
		return this.#sources.filter(source => source.kind === 'stream');
	}

	#advance(nowMs: number): void {
		for (const source of this.#sources) {
			if (source.kind === 'stream') {
				const mintedMs = Math.max(0, Math.min(nowMs, source.endMs) - Math.min(source.updatedMs, source.endMs));
				// A stream holds at most what it minted in the time after which they are void.
				const validMs = Math.max(0, Math.min(nowMs, source.endMs) - Math.max(source.startMs, nowMs - source.loanMs));
				source.tokens = Math.min(source.tokens + (source.ratePerMs * mintedMs), source.ratePerMs * validMs);
				source.updatedMs = nowMs;
			}
		}

		this.#sources = this.#sources.filter(source => (source.kind === 'lump'
			? source.expiresMs > nowMs && source.tokens > roundingError
			: source.endMs + source.loanMs > nowMs));
	}
}

function voidMs(source: Lump | Stream): number {
	return source.kind === 'lump' ? source.expiresMs : source.endMs;
}

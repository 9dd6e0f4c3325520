import {type HomeToken} from '../contracts/home-token.js';
import {type Outcome} from '../contracts/outcome.js';

type LedgerOptions = {
	/** Time for which a token accepts new keys. */
	readonly openMs: number;
	/** Time after `openMs` for which outcomes are still replayed. */
	readonly replayMs: number;
	/** Largest number of keys under one token. */
	readonly maxKeys: number;
	/** Total size of the outcomes kept for replay, in bytes. */
	readonly maxReplayBytes: number;
};

type Entry = {
	readonly fingerprint: string;
	/** Number of the current attempt; increased only after it is proven that the previous attempt did not run. */
	attempt: number;
	state: 'recording' | 'started' | 'done';
	outcome: Outcome | undefined;
};

type TokenState = {
	readonly token: HomeToken;
	readonly role: 'home' | 'backup';
	readonly openedMs: number;
	isSealed: boolean;
	readonly entries: Map<string, Entry>;
};

/** How the home proceeds with a keyed request. */
type BeginResult =
	/** Sends the attempt to the backup; the request may start only after the backup has recorded it. */
	| {readonly kind: 'record'; readonly attempt: number}
	/** A request with the same key is in progress; waits for its outcome. */
	| {readonly kind: 'join'}
	| {readonly kind: 'outcome'; readonly outcome: Outcome};

/**
 * Ensures that the request of each idempotency key runs at most once, without relying on clocks or a quorum. The home
 * records a key, and the backup acknowledges the record before the request starts. A sealed token accepts no new keys: the
 * backup seals it when the home is lost, and the home seals it when the backup is lost. After that, a key without a record
 * is proven not to have run, and a record without an outcome means `unknown`. Outcomes are replayed until the token is
 * evicted.
 */
export class Ledger {
	readonly #options: LedgerOptions;
	readonly #tokens = new Map<string, TokenState>();
	#replayBytes = 0;

	constructor(options: LedgerOptions) {
		this.#options = options;
	}

	/** Number of keys stored. */
	get keys(): number {
		let total = 0;
		for (const state of this.#tokens.values()) {
			total += state.entries.size;
		}

		return total;
	}

	/** Size of the outcomes stored for replay, in bytes. */
	get replayBytes(): number {
		return this.#replayBytes;
	}

	/** Adds a token at its home or its backup; the home adds it only after the backup has. Returns `false` if the token is already present. */
	open(token: HomeToken, role: 'home' | 'backup', nowMs: number): boolean {
		if (this.#tokens.has(token.id)) {
			return false;
		}

		this.#tokens.set(token.id, {
			token, role, openedMs: nowMs, isSealed: false, entries: new Map(),
		});
		return true;
	}

	/** Returns whether a token accepts new keys and so may be issued to callers. */
	isOpen(tokenId: string, nowMs: number): boolean {
		const state = this.#tokens.get(tokenId);
		return state !== undefined && !state.isSealed && nowMs - state.openedMs < this.#options.openMs;
	}

	/** At the home: decides how to proceed with a keyed request. */
	begin(tokenId: string, part: string, fingerprint: string, nowMs: number): BeginResult {
		const state = this.#tokens.get(tokenId);
		if (state?.role !== 'home') {
			return unknown('key_expired', 'the token is no longer stored by this host');
		}

		const entry = state.entries.get(part);
		if (entry !== undefined) {
			return this.#beginKnownKey(state, entry, fingerprint, nowMs);
		}

		if (!this.isOpen(tokenId, nowMs)) {
			return notRun('token_sealed', 'the token accepts no new keys');
		}

		if (state.entries.size >= this.#options.maxKeys) {
			state.isSealed = true;
			return notRun('token_sealed', 'the token has reached its limit of keys');
		}

		state.entries.set(part, {
			fingerprint, attempt: 1, state: 'recording', outcome: undefined,
		});
		return {kind: 'record', attempt: 1};
	}

	/** At the home: records that the backup acknowledged the attempt; returns whether the request may start. */
	confirm(tokenId: string, part: string, attempt: number): boolean {
		const state = this.#tokens.get(tokenId);
		const entry = state?.entries.get(part);
		if (state === undefined || state.isSealed || entry?.state !== 'recording' || entry.attempt !== attempt) {
			return false;
		}

		entry.state = 'started';
		return true;
	}

	/** At the home: seals the token because the backup did not acknowledge the attempt; the request never starts. */
	abandon(tokenId: string, part: string): Outcome {
		this.seal(tokenId);
		const outcome: Outcome = {
			kind: 'not-run', reason: 'token_sealed', detail: 'the backup did not record the request', retryAfterMs: 0,
		};
		this.finish(tokenId, part, outcome);
		return outcome;
	}

	/** At the home: stores the outcome of the latest attempt. */
	finish(tokenId: string, part: string, outcome: Outcome): void {
		const entry = this.#tokens.get(tokenId)?.entries.get(part);
		if (entry !== undefined) {
			this.#storeOutcome(entry, outcome);
		}
	}

	/** At the backup: records an attempt; returns `false` if the token is sealed or unknown. */
	record(tokenId: string, part: string, attempt: number, fingerprint: string): boolean {
		const state = this.#tokens.get(tokenId);
		if (state?.role !== 'backup' || state.isSealed) {
			return false;
		}

		const entry = state.entries.get(part);
		if (entry === undefined || attempt > entry.attempt) {
			state.entries.set(part, {
				fingerprint, attempt, state: 'started', outcome: undefined,
			});
		}

		return true;
	}

	/** At the backup: stores the outcome of the latest attempt; outcomes of earlier attempts are ignored. */
	recordOutcome(tokenId: string, part: string, attempt: number, outcome: Outcome): void {
		const entry = this.#tokens.get(tokenId)?.entries.get(part);
		if (entry?.attempt === attempt) {
			this.#storeOutcome(entry, outcome);
		}
	}

	/** At the backup: seals the token and returns the outcome of a key whose home is unreachable. */
	resolve(tokenId: string, part: string): Outcome {
		const state = this.#tokens.get(tokenId);
		if (state?.role !== 'backup') {
			return {kind: 'unknown', reason: 'key_expired', detail: 'the token is no longer stored by this host'};
		}

		state.isSealed = true;
		const entry = state.entries.get(part);
		if (entry === undefined || entry.outcome?.kind === 'not-run') {
			return {
				kind: 'not-run', reason: 'token_sealed', detail: 'the home of the token was lost; the request had not run', retryAfterMs: 0,
			};
		}

		if (entry.state === 'done') {
			return replay(entry);
		}

		return {kind: 'unknown', reason: 'host_lost', detail: 'the host that ran the request was lost before its outcome was known'};
	}

	/** Seals a token, so that it accepts no new keys. */
	seal(tokenId: string): void {
		const state = this.#tokens.get(tokenId);
		if (state !== undefined) {
			state.isSealed = true;
		}
	}

	/** Seals the tokens of this home whose backup is the process `memberKey`; returns the ids of the tokens sealed. */
	sealTokensWithBackup(memberKey: string): string[] {
		const sealed: string[] = [];
		for (const [id, state] of this.#tokens) {
			const otherProcess = state.role === 'home' ? state.token.backup : state.token.home;
			if (otherProcess === memberKey && !state.isSealed && state.role === 'home') {
				state.isSealed = true;
				sealed.push(id);
			}
		}

		return sealed;
	}

	/** Returns the number of the latest attempt of a key, or `undefined` if the key is not stored here. */
	attemptOf(tokenId: string, part: string): number | undefined {
		return this.#tokens.get(tokenId)?.entries.get(part)?.attempt;
	}

	/** Returns the number of keyed requests at this home that are being recorded or run and have no outcome yet. */
	countUnfinished(): number {
		let total = 0;
		for (const state of this.#tokens.values()) {
			if (state.role === 'home') {
				total += [...state.entries.values()].filter(entry => entry.state !== 'done').length;
			}
		}

		return total;
	}

	/** Evicts tokens whose replay period has ended. */
	tick(nowMs: number): void {
		for (const [id, state] of this.#tokens) {
			if (nowMs - state.openedMs >= this.#options.openMs + this.#options.replayMs) {
				for (const entry of state.entries.values()) {
					this.#evictOutcome(entry);
				}

				this.#tokens.delete(id);
			}
		}
	}

	#beginKnownKey(state: TokenState, entry: Entry, fingerprint: string, nowMs: number): BeginResult {
		if (entry.fingerprint !== fingerprint) {
			return notRun('key_invalid', 'the key was used for a different request');
		}

		if (entry.state !== 'done') {
			return {kind: 'join'};
		}

		const canRunAgain = entry.outcome?.kind === 'not-run' && this.isOpen(state.token.id, nowMs);
		if (canRunAgain) {
			entry.attempt++;
			entry.state = 'recording';
			entry.outcome = undefined;
			return {kind: 'record', attempt: entry.attempt};
		}

		return {kind: 'outcome', outcome: replay(entry)};
	}

	#storeOutcome(entry: Entry, outcome: Outcome): void {
		this.#evictOutcome(entry);
		entry.state = 'done';
		const bytes = outcomeBytes(outcome);
		if (this.#replayBytes + bytes <= this.#options.maxReplayBytes) {
			entry.outcome = outcome;
			this.#replayBytes += bytes;
		}
	}

	#evictOutcome(entry: Entry): void {
		if (entry.outcome !== undefined) {
			this.#replayBytes -= outcomeBytes(entry.outcome);
			entry.outcome = undefined;
		}
	}
}

/** Returns the estimated memory use of a stored outcome, in bytes. */
function outcomeBytes(outcome: Outcome): number {
	return outcome.kind === 'whole' ? outcome.body.byteLength + 256 : 64;
}

function replay(entry: Entry): Outcome {
	if (entry.outcome === undefined) {
		return {kind: 'unknown', reason: 'key_expired', detail: 'the request ran; its response is no longer stored'};
	}

	return entry.outcome.kind === 'whole' ? {...entry.outcome, isReplay: true} : entry.outcome;
}

function notRun(reason: 'token_sealed' | 'key_invalid', detail: string): BeginResult {
	return {
		kind: 'outcome', outcome: {
			kind: 'not-run', reason, detail, retryAfterMs: 0,
		},
	};
}

function unknown(reason: 'key_expired', detail: string): BeginResult {
	return {kind: 'outcome', outcome: {kind: 'unknown', reason, detail}};
}

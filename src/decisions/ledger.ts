import {type HomeToken} from '../contracts/home-token.js';
import {type Outcome} from '../contracts/outcome.js';

type LedgerOptions = {
	/** Time for which a token takes new keys, in milliseconds. */
	readonly openMs: number;
	/** Time after that for which outcomes are replayed, in milliseconds. */
	readonly replayMs: number;
	/** Keys of one token. */
	readonly maxKeys: number;
	/** Bytes of outcomes kept for replay. */
	readonly maxReplayBytes: number;
};

type Entry = {
	readonly fingerprint: string;
	/** Grows with each run of the key that follows a proof that the last one did not happen. */
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

/** What a host does with a keyed request. */
type LedgerAnswer =
	/** Have the backup record the attempt; start only after it has. */
	| {readonly kind: 'record'; readonly attempt: number}
	/** The same key is on its way; wait for its outcome. */
	| {readonly kind: 'join'}
	| {readonly kind: 'outcome'; readonly outcome: Outcome};

/**
 * At most one run of each key, without clocks or majorities. The home records a key and has the backup
 * acknowledge the record before the request starts. A sealed token takes no new keys: the backup seals it when
 * the home is lost, the home when the backup is. After that, no record proves "not run", and a record without an
 * outcome is "unknown". Outcomes are replayed until the token is forgotten.
 */
export class Ledger {
	readonly #options: LedgerOptions;
	readonly #tokens = new Map<string, TokenState>();
	#replayBytes = 0;

	constructor(options: LedgerOptions) {
		this.#options = options;
	}

	/** Keys held. */
	get keys(): number {
		let total = 0;
		for (const state of this.#tokens.values()) {
			total += state.entries.size;
		}

		return total;
	}

	/** Bytes of outcomes held for replay. */
	get replayBytes(): number {
		return this.#replayBytes;
	}

	/** Takes on a token, as its home once the backup has taken it on, or as its backup. */
	open(token: HomeToken, role: 'home' | 'backup', nowMs: number): boolean {
		if (this.#tokens.has(token.id)) {
			return false;
		}

		this.#tokens.set(token.id, {
			token, role, openedMs: nowMs, isSealed: false, entries: new Map(),
		});
		return true;
	}

	/** Whether a token may be given to callers. */
	isOpen(tokenId: string, nowMs: number): boolean {
		const state = this.#tokens.get(tokenId);
		return state !== undefined && !state.isSealed && nowMs - state.openedMs < this.#options.openMs;
	}

	/** At the home: takes in a keyed request. */
	begin(tokenId: string, part: string, fingerprint: string, nowMs: number): LedgerAnswer {
		const state = this.#tokens.get(tokenId);
		if (state?.role !== 'home') {
			return unknown('key_expired', 'the token is no longer known here');
		}

		const entry = state.entries.get(part);
		if (entry !== undefined) {
			return this.#beginAgain(state, entry, fingerprint, nowMs);
		}

		if (!this.isOpen(tokenId, nowMs)) {
			return notRun('token_sealed', 'the token takes no new keys');
		}

		if (state.entries.size >= this.#options.maxKeys) {
			state.isSealed = true;
			return notRun('token_sealed', 'the token has no room for more keys');
		}

		state.entries.set(part, {
			fingerprint, attempt: 1, state: 'recording', outcome: undefined,
		});
		return {kind: 'record', attempt: 1};
	}

	/** At the home: the backup has acknowledged the record; answers whether the request may start. */
	confirm(tokenId: string, part: string, attempt: number): boolean {
		const state = this.#tokens.get(tokenId);
		const entry = state?.entries.get(part);
		if (state === undefined || state.isSealed || entry?.state !== 'recording' || entry.attempt !== attempt) {
			return false;
		}

		entry.state = 'started';
		return true;
	}

	/** At the home: the backup did not acknowledge, so the token takes no new keys and the request never starts. */
	abandon(tokenId: string, part: string): Outcome {
		this.seal(tokenId);
		const outcome: Outcome = {
			kind: 'not-run', reason: 'token_sealed', detail: 'the backup did not record the request', retryAfterMs: 0,
		};
		this.finish(tokenId, part, outcome);
		return outcome;
	}

	/** At the home: keeps the outcome of the latest attempt. */
	finish(tokenId: string, part: string, outcome: Outcome): void {
		const entry = this.#tokens.get(tokenId)?.entries.get(part);
		if (entry !== undefined) {
			this.#keep(entry, outcome);
		}
	}

	/** At the backup: records an attempt; `false` when the token is sealed or not known. */
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

	/** At the backup: keeps the outcome of an attempt; one of an earlier attempt is ignored. */
	recordOutcome(tokenId: string, part: string, attempt: number, outcome: Outcome): void {
		const entry = this.#tokens.get(tokenId)?.entries.get(part);
		if (entry?.attempt === attempt) {
			this.#keep(entry, outcome);
		}
	}

	/** At the backup: answers for a home that cannot be reached; the token is sealed first. */
	resolve(tokenId: string, part: string): Outcome {
		const state = this.#tokens.get(tokenId);
		if (state?.role !== 'backup') {
			return {kind: 'unknown', reason: 'key_expired', detail: 'the token is no longer known here'};
		}

		state.isSealed = true;
		const entry = state.entries.get(part);
		if (entry === undefined || entry.outcome?.kind === 'not-run') {
			return {
				kind: 'not-run', reason: 'token_sealed', detail: 'the home of the token is lost; the request had not run', retryAfterMs: 0,
			};
		}

		if (entry.state === 'done') {
			return replay(entry);
		}

		return {kind: 'unknown', reason: 'host_lost', detail: 'the host that ran the request was lost before its outcome was known'};
	}

	/** Takes no new keys under a token from now on. */
	seal(tokenId: string): void {
		const state = this.#tokens.get(tokenId);
		if (state !== undefined) {
			state.isSealed = true;
		}
	}

	/** Seals the open tokens whose other process is `memberKey`; answers their ids. */
	sealPartner(memberKey: string): string[] {
		const sealed: string[] = [];
		for (const [id, state] of this.#tokens) {
			const partner = state.role === 'home' ? state.token.backup : state.token.home;
			if (partner === memberKey && !state.isSealed && state.role === 'home') {
				state.isSealed = true;
				sealed.push(id);
			}
		}

		return sealed;
	}

	/** Fingerprint and attempt of a key held here. */
	attemptOf(tokenId: string, part: string): number | undefined {
		return this.#tokens.get(tokenId)?.entries.get(part)?.attempt;
	}

	/** Requests that have started under tokens of this home and have no outcome yet. */
	unfinished(): number {
		let total = 0;
		for (const state of this.#tokens.values()) {
			if (state.role === 'home') {
				total += [...state.entries.values()].filter(entry => entry.state !== 'done').length;
			}
		}

		return total;
	}

	/** Forgets tokens whose time for replay is over. */
	tick(nowMs: number): void {
		for (const [id, state] of this.#tokens) {
			if (nowMs - state.openedMs >= this.#options.openMs + this.#options.replayMs) {
				for (const entry of state.entries.values()) {
					this.#drop(entry);
				}

				this.#tokens.delete(id);
			}
		}
	}

	#beginAgain(state: TokenState, entry: Entry, fingerprint: string, nowMs: number): LedgerAnswer {
		if (entry.fingerprint !== fingerprint) {
			return notRun('key_invalid', 'the key was used for another request');
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

	#keep(entry: Entry, outcome: Outcome): void {
		this.#drop(entry);
		entry.state = 'done';
		const bytes = outcomeBytes(outcome);
		if (this.#replayBytes + bytes <= this.#options.maxReplayBytes) {
			entry.outcome = outcome;
			this.#replayBytes += bytes;
		}
	}

	#drop(entry: Entry): void {
		if (entry.outcome !== undefined) {
			this.#replayBytes -= outcomeBytes(entry.outcome);
			entry.outcome = undefined;
		}
	}
}

function outcomeBytes(outcome: Outcome): number {
	return outcome.kind === 'whole' ? outcome.body.byteLength + 256 : 64;
}

function replay(entry: Entry): Outcome {
	if (entry.outcome === undefined) {
		return {kind: 'unknown', reason: 'key_expired', detail: 'the request ran; its answer is no longer kept'};
	}

	return entry.outcome.kind === 'whole' ? {...entry.outcome, isReplay: true} : entry.outcome;
}

function notRun(reason: 'token_sealed' | 'key_invalid', detail: string): LedgerAnswer {
	return {
		kind: 'outcome', outcome: {
			kind: 'not-run', reason, detail, retryAfterMs: 0,
		},
	};
}

function unknown(reason: 'key_expired', detail: string): LedgerAnswer {
	return {kind: 'outcome', outcome: {kind: 'unknown', reason, detail}};
}

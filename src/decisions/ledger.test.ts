import {describe, expect, it} from 'vitest';
import {type HomeToken} from '../contracts/home-token.js';
import {type Outcome} from '../contracts/outcome.js';
import {Ledger} from './ledger.js';

const options = {
	openMs: 1000, replayMs: 1000, maxKeys: 10, maxReplayBytes: 1000,
};
const token: HomeToken = {
	id: 't1', home: 'h/1', homeAddress: '127.0.0.1:1', backup: 'b/1', backupAddress: '127.0.0.1:2',
};
const whole: Outcome = {
	kind: 'whole', status: 200, headers: {}, body: new Uint8Array([1]), isReplay: false,
};
const shed: Outcome = {
	kind: 'not-run', reason: 'shed', detail: '', retryAfterMs: 0,
};

type Message =
	| {readonly kind: 'record'; readonly attempt: number}
	| {readonly kind: 'ack'; readonly attempt: number; readonly isRecorded: boolean}
	| {readonly kind: 'outcome'; readonly attempt: number; readonly outcome: Outcome};

type Action = {readonly name: string; readonly run: () => void};

/** Model of one key: three copies of a request in flight, the home, the backup and the messages between them. */
class Model {
	readonly home = new Ledger(options);
	readonly backup = new Ledger(options);
	readonly outcomes: Outcome[] = [];
	copies = 3;
	runs = 0;
	failure: string | undefined;
	#isHomeUp = true;
	#isBackupUp = true;
	readonly #running: number[] = [];
	readonly #messages: Message[] = [];
	#shedsLeft = 1;
	#joined = 0;
	#resendsLeft = 1;

	constructor() {
		this.backup.open(token, 'backup', 0);
		this.home.open(token, 'home', 0);
	}

	/** Returns all events that may happen next. */
	actions(): Action[] {
		const actions: Action[] = [];
		if (this.copies > 0 && this.#isHomeUp) {
			actions.push({
				name: 'a copy reaches the home', run: () => {
					this.#reachHome();
				},
			});
		}

		if (this.copies > 0 && this.#isBackupUp) {
			actions.push({
				name: 'the backup resolves a copy', run: () => {
					this.copies--;
					this.#respond(this.backup.resolve('t1', 'k'));
					const last = this.outcomes.at(-1);
					if (last?.kind === 'not-run' && last.reason !== 'token_sealed') {
						this.failure = 'the backup refused with a reason other than token_sealed';
					}
				},
			});
		}

		for (const [index, message] of this.#messages.entries()) {
			actions.push(
				{
					name: `${message.kind} arrives`, run: () => {
						this.#messages.splice(index, 1);
						this.#deliver(message);
					},
				},
				{
					name: `${message.kind} is lost`, run: () => {
						this.#messages.splice(index, 1);
						this.#lose(message);
					},
				},
			);
		}

		for (const [index, attempt] of this.#running.entries()) {
			actions.push({
				name: 'the upstream responds', run: () => {
					this.#running.splice(index, 1);
					this.#finish(attempt, whole);
				},
			});
			if (this.#shedsLeft > 0) {
				actions.push({
					name: 'the upstream sheds', run: () => {
						this.#running.splice(index, 1);
						this.#shedsLeft--;
						this.runs--;
						this.#finish(attempt, shed);
					},
				});
			}
		}

		if (this.#isHomeUp) {
			actions.push({
				name: 'the home crashes', run: () => {
					this.#isHomeUp = false;
					this.copies += this.#joined;
					this.#joined = 0;
				},
			});
		}

		if (this.#isBackupUp) {
			actions.push({
				name: 'the backup crashes', run: () => {
					this.#isBackupUp = false;
				},
			});
		}

		return actions;
	}

	#reachHome(): void {
		this.copies--;
		const result = this.home.begin('t1', 'k', 'print', 0);
		switch (result.kind) {
			case 'outcome': {
				this.#respond(result.outcome);
				break;
			}

			case 'join': {
				this.#joined++;
				break;
			}

			case 'record': {
				this.#joined++;
				this.#messages.push({kind: 'record', attempt: result.attempt});
				break;
			}
		}
	}

	#deliver(message: Message): void {
		switch (message.kind) {
			case 'record': {
				if (!this.#isBackupUp) {
					this.#lose(message);
					return;
				}

				const isRecorded = this.backup.record('t1', 'k', message.attempt, 'print');
				this.#messages.push({kind: 'ack', attempt: message.attempt, isRecorded});
				break;
			}

			case 'ack': {
				this.#receiveAck(message);
				break;
			}

			case 'outcome': {
				if (this.#isBackupUp) {
					this.backup.recordOutcome('t1', 'k', message.attempt, message.outcome);
				}

				break;
			}
		}
	}

	#receiveAck(message: Message & {kind: 'ack'}): void {
		if (!this.#isHomeUp) {
			return;
		}

		if (message.isRecorded && this.home.confirm('t1', 'k', message.attempt)) {
			this.runs++;
			this.#running.push(message.attempt);
			this.#check();
			return;
		}

		this.#respondToJoined(this.home.abandon('t1', 'k'));
	}

	#lose(message: Message): void {
		if (message.kind !== 'outcome' && this.#isHomeUp) {
			this.#respondToJoined(this.home.abandon('t1', 'k'));
		}
	}

	#finish(attempt: number, outcome: Outcome): void {
		if (!this.#isHomeUp) {
			return;
		}

		this.home.finish('t1', 'k', outcome);
		this.#messages.push({kind: 'outcome', attempt, outcome});
		this.#respondToJoined(outcome);
	}

	#respondToJoined(outcome: Outcome): void {
		for (; this.#joined > 0; this.#joined--) {
			this.#respond(outcome);
		}
	}

	#respond(outcome: Outcome): void {
		this.outcomes.push(outcome);
		this.#check();
		if (outcome.kind === 'not-run' && outcome.reason === 'shed' && this.#resendsLeft > 0) {
			this.#resendsLeft--;
			this.copies++;
		}
	}

	#check(): void {
		const hasFinalRefusal = this.outcomes.some(outcome => outcome.kind === 'not-run' && outcome.reason === 'token_sealed');
		if (this.runs > 1) {
			this.failure = 'the request ran twice';
		} else if (hasFinalRefusal && this.runs > 0) {
			this.failure = 'the request ran despite a final refusal';
		}
	}
}

/** Runs every sequence of events up to a depth, each on a new model; returns the first failing sequence. */
function explore(depth: number): {readonly sequences: number; readonly failure: readonly string[] | undefined} {
	let sequences = 0;
	const path: number[] = [];
	const replayPath = () => {
		const model = new Model();
		const names: string[] = [];
		for (const choice of path) {
			const action = model.actions()[choice]!;
			names.push(action.name);
			action.run();
		}

		return {model, names};
	};

	const visit = (): readonly string[] | undefined => {
		const {model, names} = replayPath();
		sequences++;
		if (model.failure !== undefined) {
			return [...names, model.failure];
		}

		if (path.length === depth) {
			return undefined;
		}

		for (let choice = 0; choice < model.actions().length; choice++) {
			path.push(choice);
			const failure = visit();
			path.pop();
			if (failure !== undefined) {
				return failure;
			}
		}

		return undefined;
	};

	const failure = visit();
	return {sequences, failure};
}

describe('ledger', () => {
	describe('with every order of three copies, message losses, responses and crashes', () => {
		it('runs a key at most once, and never after a final refusal', () => {
			const {sequences, failure} = explore(14);
			expect(failure).toBeUndefined();
			expect(sequences).toBeGreaterThan(100_000);
		});
	});

	describe('at the home', () => {
		const open = () => {
			const ledger = new Ledger(options);
			ledger.open(token, 'home', 0);
			return ledger;
		};

		it('replays the outcome of a finished request', () => {
			const ledger = open();
			expect(ledger.begin('t1', 'k', 'print', 0)).toEqual({kind: 'record', attempt: 1});
			expect(ledger.begin('t1', 'k', 'print', 0)).toEqual({kind: 'join'});
			expect(ledger.confirm('t1', 'k', 1)).toBe(true);
			ledger.finish('t1', 'k', whole);
			expect(ledger.begin('t1', 'k', 'print', 0)).toMatchObject({kind: 'outcome', outcome: {kind: 'whole', isReplay: true}});
		});

		it('refuses a key that was used for a different request', () => {
			const ledger = open();
			ledger.begin('t1', 'k', 'print', 0);
			expect(ledger.begin('t1', 'k', 'other', 0)).toMatchObject({kind: 'outcome', outcome: {kind: 'not-run', reason: 'key_invalid'}});
		});

		it('refuses new keys once the token has expired, and returns unknown once the token is evicted', () => {
			const ledger = open();
			expect(ledger.begin('t1', 'k', 'print', 1000)).toMatchObject({outcome: {kind: 'not-run', reason: 'token_sealed'}});
			ledger.tick(2000);
			expect(ledger.begin('t1', 'k', 'print', 2000)).toMatchObject({outcome: {kind: 'unknown', reason: 'key_expired'}});
		});

		it('stays within the replay byte limit, and never reruns a key whose outcome was not kept', () => {
			const ledger = open();
			const large: Outcome = {...whole, body: new Uint8Array(600)};
			for (const part of ['a', 'b']) {
				ledger.begin('t1', part, 'print', 0);
				ledger.confirm('t1', part, 1);
				ledger.finish('t1', part, large);
			}

			expect(ledger.replayBytes).toBeLessThanOrEqual(options.maxReplayBytes);
			expect(ledger.begin('t1', 'b', 'print', 0)).toMatchObject({outcome: {kind: 'unknown', reason: 'key_expired'}});
		});

		it('seals a token that has reached its key limit', () => {
			const ledger = open();
			for (let index = 0; index < options.maxKeys; index++) {
				expect(ledger.begin('t1', `k${index}`, 'print', 0).kind).toBe('record');
			}

			expect(ledger.begin('t1', 'one-more', 'print', 0)).toMatchObject({outcome: {reason: 'token_sealed'}});
			expect(ledger.isOpen('t1', 0)).toBe(false);
		});
	});
});

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

/** One key with three copies under way, its home, its backup and the messages between them. */
class World {
	readonly home = new Ledger(options);
	readonly backup = new Ledger(options);
	readonly answers: Outcome[] = [];
	copies = 3;
	runs = 0;
	failure: string | undefined;
	#isHomeUp = true;
	#isBackupUp = true;
	readonly #running: number[] = [];
	readonly #messages: Message[] = [];
	#sheds = 1;
	#joined = 0;
	#resends = 1;

	constructor() {
		this.backup.open(token, 'backup', 0);
		this.home.open(token, 'home', 0);
	}

	/** Everything that may happen next, in any order. */
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
				name: 'a copy is resolved at the backup', run: () => {
					this.copies--;
					this.#answer(this.backup.resolve('t1', 'k'));
					const last = this.answers.at(-1);
					if (last?.kind === 'not-run' && last.reason !== 'token_sealed') {
						this.failure = 'a refusal by the backup does not say that the key is spent';
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
				name: 'the upstream answers', run: () => {
					this.#running.splice(index, 1);
					this.#finish(attempt, whole);
				},
			});
			if (this.#sheds > 0) {
				actions.push({
					name: 'the upstream sheds', run: () => {
						this.#running.splice(index, 1);
						this.#sheds--;
						this.runs--;
						this.#finish(attempt, shed);
					},
				});
			}
		}

		if (this.#isHomeUp) {
			actions.push({
				name: 'the home dies', run: () => {
					this.#isHomeUp = false;
					this.copies += this.#joined;
					this.#joined = 0;
				},
			});
		}

		if (this.#isBackupUp) {
			actions.push({
				name: 'the backup dies', run: () => {
					this.#isBackupUp = false;
				},
			});
		}

		return actions;
	}

	#reachHome(): void {
		this.copies--;
		const answer = this.home.begin('t1', 'k', 'print', 0);
		switch (answer.kind) {
			case 'outcome': {
				this.#answer(answer.outcome);
				break;
			}

			case 'join': {
				this.#joined++;
				break;
			}

			case 'record': {
				this.#joined++;
				this.#messages.push({kind: 'record', attempt: answer.attempt});
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
				this.#takeAck(message);
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

	#takeAck(message: Message & {kind: 'ack'}): void {
		if (!this.#isHomeUp) {
			return;
		}

		if (message.isRecorded && this.home.confirm('t1', 'k', message.attempt)) {
			this.runs++;
			this.#running.push(message.attempt);
			this.#check();
			return;
		}

		this.#tellJoined(this.home.abandon('t1', 'k'));
	}

	#lose(message: Message): void {
		if (message.kind !== 'outcome' && this.#isHomeUp) {
			this.#tellJoined(this.home.abandon('t1', 'k'));
		}
	}

	#finish(attempt: number, outcome: Outcome): void {
		if (!this.#isHomeUp) {
			return;
		}

		this.home.finish('t1', 'k', outcome);
		this.#messages.push({kind: 'outcome', attempt, outcome});
		this.#tellJoined(outcome);
	}

	#tellJoined(outcome: Outcome): void {
		for (; this.#joined > 0; this.#joined--) {
			this.#answer(outcome);
		}
	}

	#answer(outcome: Outcome): void {
		this.answers.push(outcome);
		this.#check();
		if (outcome.kind === 'not-run' && outcome.reason === 'shed' && this.#resends > 0) {
			this.#resends--;
			this.copies++;
		}
	}

	#check(): void {
		const isRefusedForGood = this.answers.some(answer => answer.kind === 'not-run' && answer.reason === 'token_sealed');
		if (this.runs > 1) {
			this.failure = 'the request ran twice';
		} else if (isRefusedForGood && this.runs > 0) {
			this.failure = 'the request ran although it was refused for good';
		}
	}
}

/** Tries every order of events up to a depth by running each sequence afresh; answers the first failing sequence. */
function explore(depth: number): {readonly sequences: number; readonly failure: readonly string[] | undefined} {
	let sequences = 0;
	const path: number[] = [];
	const replayPath = () => {
		const world = new World();
		const names: string[] = [];
		for (const choice of path) {
			const action = world.actions()[choice]!;
			names.push(action.name);
			action.run();
		}

		return {world, names};
	};

	const visit = (): readonly string[] | undefined => {
		const {world, names} = replayPath();
		sequences++;
		if (world.failure !== undefined) {
			return [...names, world.failure];
		}

		if (path.length === depth) {
			return undefined;
		}

		for (let choice = 0; choice < world.actions().length; choice++) {
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
	describe('every order of three copies, losses, answers and deaths', () => {
		it('runs a key at most once and never after a final refusal', () => {
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

		it('replays an outcome', () => {
			const ledger = open();
			expect(ledger.begin('t1', 'k', 'print', 0)).toEqual({kind: 'record', attempt: 1});
			expect(ledger.begin('t1', 'k', 'print', 0)).toEqual({kind: 'join'});
			expect(ledger.confirm('t1', 'k', 1)).toBe(true);
			ledger.finish('t1', 'k', whole);
			expect(ledger.begin('t1', 'k', 'print', 0)).toMatchObject({kind: 'outcome', outcome: {kind: 'whole', isReplay: true}});
		});

		it('refuses a key that was used for another request', () => {
			const ledger = open();
			ledger.begin('t1', 'k', 'print', 0);
			expect(ledger.begin('t1', 'k', 'other', 0)).toMatchObject({kind: 'outcome', outcome: {kind: 'not-run', reason: 'key_invalid'}});
		});

		it('takes no new keys once the token is old, and knows nothing once it is forgotten', () => {
			const ledger = open();
			expect(ledger.begin('t1', 'k', 'print', 1000)).toMatchObject({outcome: {kind: 'not-run', reason: 'token_sealed'}});
			ledger.tick(2000);
			expect(ledger.begin('t1', 'k', 'print', 2000)).toMatchObject({outcome: {kind: 'unknown', reason: 'key_expired'}});
		});

		it('keeps no more bytes than it may, and never runs a key whose answer it dropped', () => {
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

		it('seals a token that is full', () => {
			const ledger = open();
			for (let index = 0; index < options.maxKeys; index++) {
				expect(ledger.begin('t1', `k${index}`, 'print', 0).kind).toBe('record');
			}

			expect(ledger.begin('t1', 'one-more', 'print', 0)).toMatchObject({outcome: {reason: 'token_sealed'}});
			expect(ledger.isOpen('t1', 0)).toBe(false);
		});
	});
});
